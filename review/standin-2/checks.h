#pragma once

#include "world.h"

/// Rules of RULES.md, judged by what clients and workers have seen.
namespace review {

struct JobSeen
{
  std::string id_;
  std::string path_;
  std::vector<StepShape> steps_;
  int attempts_ = 2;
  std::uint32_t repeat_ = 0;
  bool isAccepted_ = false;
  bool mayBeAccepted_ = false;
  std::int64_t cancelledAtMs_ = -1;
  std::string state_;
};

/// Starts of a task while it runs, or after an end `done` that was taken note
/// of (TWICE); starts before the steps in dependsOn are done (ORDER).
inline std::vector<std::string>
CheckRuns(const std::vector<Seen>& aSeen,
          const std::map<std::string, JobSeen>& aJobs)
{
  std::vector<std::string> broken;
  struct Task
  {
    std::map<std::string, std::uint32_t> running_;
    std::vector<const Seen*> done_;
  };
  std::map<std::string, Task> tasks;
  std::map<std::string, std::set<std::uint32_t>> doneOfStep;
  for (const auto& seen : aSeen) {
    auto& task = tasks[seen.task_];
    if (!seen.isStart_) {
      task.running_.erase(seen.worker_);
      if (seen.how_ == "done") {
        task.done_.push_back(&seen);
        const auto [step, index] = SplitTask(seen.task_);
        doneOfStep[step].insert(index);
      }
      continue;
    }
    const auto at = std::to_string(seen.atMs_) + " " + seen.task_ + " run " +
                    std::to_string(seen.run_) + " on " + seen.worker_;
    const auto job = aJobs.find(seen.task_.substr(0, 16));
    if (job == aJobs.end()) {
      broken.push_back("UNASKED " + at);
      continue;
    }
    for (const auto& [worker, run] : task.running_) {
      broken.push_back("TWICE " + at + " while run " + std::to_string(run) +
                       " is on " + worker);
    }
    for (const auto* done : task.done_) {
      if (done->notedAtMs_ >= 0 && !done->lapsedBefore_) {
        broken.push_back("TWICE " + at + " after run " +
                         std::to_string(done->run_) + " ended done at " +
                         std::to_string(done->atMs_));
      }
    }
    task.running_[seen.worker_] = seen.run_;
    const auto step = SplitTask(seen.task_).first;
    const auto dot = step.rfind('.');
    const auto number = std::stoul(step.substr(dot + 1));
    for (const auto before : job->second.steps_[number].after_) {
      const auto name = step.substr(0, dot + 1) + std::to_string(before);
      const auto& shape = job->second.steps_[before];
      const auto done = doneOfStep[name].size();
      if (done < (shape.gang_ ? std::min(1U, shape.count_) : shape.count_)) {
        broken.push_back("ORDER " + at + " before step " + name);
      }
    }
  }
  return broken;
}

/// Runs of the task, or of the gang, that have failed.
inline std::size_t
FailedRuns(const std::vector<Seen>& aSeen,
           const std::string& aStep,
           const StepShape& aShape)
{
  std::map<std::uint32_t, std::set<std::uint32_t>> runsOfTask;
  std::set<std::uint32_t> runsOfGang;
  for (const auto& seen : aSeen) {
    if (!seen.isStart_ && seen.how_ == "failed" &&
        SplitTask(seen.task_).first == aStep) {
      runsOfTask[SplitTask(seen.task_).second].insert(seen.run_);
      runsOfGang.insert(seen.run_);
    }
  }
  if (aShape.gang_) {
    return runsOfGang.size();
  }
  std::size_t most = 0;
  for (const auto& [task, runs] : runsOfTask) {
    most = std::max(most, runs.size());
  }
  return most;
}

/// What a job is shown as at the end, against what ran (LOST, MIXED).
inline std::vector<std::string>
CheckStates(const std::vector<Seen>& aSeen,
            const std::map<std::string, JobSeen>& aJobs)
{
  std::vector<std::string> broken;
  std::map<std::string, std::set<std::uint32_t>> doneOfStep;
  std::map<std::string, int> starts;
  for (const auto& seen : aSeen) {
    const auto [step, index] = SplitTask(seen.task_);
    if (!seen.isStart_ && seen.how_ == "done") {
      doneOfStep[step].insert(index);
    }
    starts[seen.task_.substr(0, 16)] += seen.isStart_ ? 1 : 0;
  }
  for (const auto& [id, job] : aJobs) {
    if (!job.isAccepted_ && !job.mayBeAccepted_ && starts[id] > 0) {
      broken.push_back("REFUSED " + id + " runs");
    }
    if (!job.isAccepted_ || job.cancelledAtMs_ >= 0) {
      continue;
    }
    const auto occurrences = std::max(1U, job.repeat_);
    bool allDone = true;
    bool hasCause = false;
    bool lasts = false;
    for (std::uint32_t k = 0; k < occurrences; ++k) {
      for (std::size_t step = 0; step < job.steps_.size(); ++step) {
        const auto name =
          id + "." + std::to_string(k) + "." + std::to_string(step);
        const auto& shape = job.steps_[step];
        lasts |= shape.lasts_;
        allDone &= doneOfStep[name].size() >=
                   (shape.gang_ ? std::min(1U, shape.count_) : shape.count_);
        hasCause |= static_cast<int>(FailedRuns(aSeen, name, shape)) >=
                    job.attempts_;
      }
    }
    if (job.state_ == "completed" && !allDone) {
      broken.push_back("MIXED " + id + " is completed, not all has run");
    } else if (job.state_ == "failed" && !hasCause) {
      broken.push_back("LOST " + id + " is shown as failed without cause");
    } else if (job.state_ == "cancelled") {
      broken.push_back("LOST " + id + " is shown as cancelled");
    } else if (job.state_ == "410" || job.state_.empty()) {
      broken.push_back("LOST " + id + " state '" + job.state_ + "'");
    } else if (!lasts && job.state_ != "completed" && job.state_ != "failed") {
      broken.push_back("LOST " + id + " is still " + job.state_);
    }
  }
  return broken;
}

} // namespace review
