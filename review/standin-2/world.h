#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <condition_variable>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <vector>

/// Stand-ins of the platform: workers, the list of machines, the operator, and
/// the processes of the system itself.
namespace review {

using nlohmann::json;

inline std::int64_t
NowMs()
{
  static const auto kStart = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - kStart)
    .count();
}

inline std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

/// Writes what was sent, answered and run, with the time in ms.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file_(aPath)
  {
  }
  void Add(const std::string& aLine)
  {
    const std::lock_guard lock(mutex_);
    file_ << NowMs() << ' ' << aLine << std::endl;
  }

private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// What the workers know of the jobs: the shape of each step.
struct StepShape
{
  std::uint32_t count_ = 1;
  bool gang_ = false;
  bool lasts_ = false;
  bool saves_ = false;
  bool twice_ = false;
  std::vector<std::uint32_t> after_;
  std::int64_t workMs_ = 500;
};

/// "ID.K.STEP.INDEX" without the index, and the index.
inline std::pair<std::string, std::uint32_t>
SplitTask(const std::string& aTask)
{
  const auto dot = aTask.rfind('.');
  return { aTask.substr(0, dot),
           static_cast<std::uint32_t>(std::stoul(aTask.substr(dot + 1))) };
}

/// One listed end of a run.
struct End
{
  std::uint64_t number_ = 0;
  std::string task_;
  std::uint32_t run_ = 0;
  std::string how_;
  std::string saved_;
};

/// A start or an end that a worker saw.
struct Seen
{
  std::int64_t atMs_ = 0;
  std::string worker_;
  bool isStart_ = true;
  std::string task_;
  std::uint32_t run_ = 0;
  std::string how_;
  /// When lastSeen reached the end (-1: never), and whether the worker's lease
  /// lapsed between the two.
  std::int64_t notedAtMs_ = -1;
  bool lapsedBefore_ = false;
};

class Worker;

/// All workers, and what ran on them.
class Farm
{
public:
  explicit Farm(Record& aRecord)
    : record_(aRecord)
  {
  }

  void AddJob(const std::string& aId, const std::vector<StepShape>& aSteps)
  {
    const std::lock_guard lock(mutex_);
    jobs_[aId] = aSteps;
  }

  /// Position of the entry in what was seen.
  std::size_t Note(Seen aSeen)
  {
    record_.Add("worker " + aSeen.worker_ +
                (aSeen.isStart_ ? " starts " : " ends ") + aSeen.task_ +
                " run " + std::to_string(aSeen.run_) +
                (aSeen.isStart_ ? "" : " " + aSeen.how_));
    const std::lock_guard lock(mutex_);
    seen_.push_back(std::move(aSeen));
    return seen_.size() - 1;
  }

  /// A new checkpoint of the task; that of a gang's member is the gang's.
  std::string Save(const std::string& aTask, std::uint32_t aRun, std::int64_t aMs)
  {
    const auto saved = "c" + std::to_string(++saves_) + "@" + std::to_string(aMs);
    savedBy_[saved] = { aTask, aRun };
    return saved;
  }

  void CheckSaved(const std::string& aTask,
                  std::uint32_t aRun,
                  const std::string& aSaved)
  {
    const auto step = SplitTask(aTask).first;
    const auto job = jobs_.find(aTask.substr(0, 16));
    const auto number = std::stoul(step.substr(step.rfind('.') + 1));
    const bool isGang =
      job != jobs_.end() && job->second[number].gang_;
    const auto by = savedBy_.find(aSaved);
    const bool isOwn = by != savedBy_.end() &&
                       (isGang ? SplitTask(by->second.first).first == step
                               : by->second.first == aTask);
    if (!isOwn) {
      broken_.push_back("UNASKED " + aTask + " run " + std::to_string(aRun) +
                        " begins with the checkpoint " + aSaved);
    }
    if (isGang) {
      const auto [first, isNew] = savedOfRun_.try_emplace(
        step + "#" + std::to_string(aRun), aSaved);
      if (!isNew && first->second != aSaved) {
        broken_.push_back("UNASKED " + aTask + " run " + std::to_string(aRun) +
                          " of a gang begins with " + aSaved +
                          ", another member with " + first->second);
      }
    }
  }

  std::vector<Seen> SeenSoFar()
  {
    const std::lock_guard lock(mutex_);
    return { seen_.begin(), seen_.end() };
  }

  Record& record_;
  /// Protects all that follows and the runs of all workers: the members of a
  /// gang depend on each other.
  std::recursive_mutex mutex_;
  std::condition_variable_any changed_;
  std::map<std::string, std::vector<StepShape>> jobs_;
  std::deque<Seen> seen_;
  std::vector<Worker*> workers_;
  std::uint64_t saves_ = 0;
  std::map<std::string, std::pair<std::string, std::uint32_t>> savedBy_;
  std::map<std::string, std::string> savedOfRun_;
  std::vector<std::string> broken_;
  int gangTimeoutMs_ = 3000;
  /// Members of a gang on workers that fail all fail by themselves at the same
  /// moment; otherwise the first one breaks the others.
  bool failTogether_ = true;
};

struct WorkerOptions
{
  std::string id_;
  std::string machine_;
  std::string address_;
  std::string pool_;
  std::string zone_;
  std::string rack_;
  std::vector<std::string> control_;
  std::int64_t milliCores_ = 16000;
  std::int64_t memMb_ = 32768;
  std::int64_t maxHoldMs_ = 6000;
  std::int64_t stopMs_ = 100;
};

/// A worker as PROTOCOL.md describes it. Each life has a clock, counts and a
/// fencing token of its own.
class Worker
{
public:
  Worker(Farm& aFarm, WorkerOptions aOptions)
    : farm_(aFarm)
    , options_(std::move(aOptions))
  {
    const std::lock_guard lock(farm_.mutex_);
    farm_.workers_.push_back(this);
  }
  ~Worker() { Crash(); }

  const WorkerOptions& Options() const { return options_; }

  /// Begins a life.
  bool Start()
  {
    const std::lock_guard change(change_);
    if (isUp_) {
      return true;
    }
    {
      const std::lock_guard lock(farm_.mutex_);
      born_ = UnixMs();
      clockBase_ = NowMs();
      fence_ = 0;
      leaseEnd_ = 0;
      sequence_ = 0;
      lastEnd_ = 0;
      runs_.clear();
      ends_.clear();
      highest_.clear();
      isUp_ = true;
      ++life_;
    }
    server_ = std::make_unique<Server>(
      options_.address_,
      [this](const Request& aRequest) { return Serve(aRequest); });
    if (!server_->Open()) {
      isUp_ = false;
      return false;
    }
    reporter_ = std::thread([this, life = life_.load()] { Report(life); });
    ticker_ = std::thread([this, life = life_.load()] { Tick(life); });
    return true;
  }

  /// Ends the life without a word; all that runs ends with it.
  void Crash()
  {
    const std::lock_guard change(change_);
    {
      const std::lock_guard lock(farm_.mutex_);
      if (!isUp_) {
        return;
      }
      isUp_ = false;
      const auto ended = std::exchange(runs_, {});
      for (const auto& [task, run] : ended) {
        farm_.Note({ NowMs(), Name(), false, task, run.run_, "crashed" });
        const auto* shape = ShapeOf(task);
        if (shape != nullptr && shape->gang_) {
          EndOthers(task, run.run_, "crashed");
        }
      }
      farm_.changed_.notify_all();
    }
    server_->Close();
    reporter_.join();
    ticker_.join();
  }

  /// Leaves as planned: reports that it drains, serves on, and ends.
  void Leave()
  {
    isDraining_ = true;
    for (int waited = 0; waited < 4000 && !isDrainTaken_; waited += 20) {
      SleepMs(20);
    }
    SleepMs(2300);
    const auto body = json{ { "born", born_.load() } }.dump();
    for (const auto& control : options_.control_) {
      const auto answer = Call(
        control, "DELETE", "/instances/" + options_.id_, control, body, 1000);
      if (answer && answer->status_ == 200) {
        break;
      }
    }
    Crash();
    isDraining_ = false;
    isDrainTaken_ = false;
  }

  std::atomic<bool> isDraining_{ false };
  std::atomic<bool> isDrainTaken_{ false };

  /// Fails all that is at work on it.
  std::atomic<bool> isGrey_{ false };
  /// Cut off: nothing comes in or goes out.
  std::atomic<bool> isCut_{ false };
  /// Share of the starts, in percent, that get no answer and are carried out
  /// lateMs_ later.
  std::atomic<int> latePercent_{ 0 };
  std::atomic<int> lateMs_{ 2000 };

  std::string Name() const
  {
    return options_.id_ + "/" + std::to_string(life_);
  }

  /// Runs of the task that are on the worker now.
  bool Runs(const std::string& aTask) const { return runs_.contains(aTask); }

  /// Some run of it is being stopped.
  bool IsStopping() const
  {
    const std::lock_guard lock(farm_.mutex_);
    for (const auto& [task, run] : runs_) {
      if (run.stopAtMs_ >= 0) {
        return true;
      }
    }
    return false;
  }

private:
  friend class Farm;
  struct Run
  {
    std::uint32_t run_ = 0;
    std::string saved_;
    std::int64_t startedAtMs_ = 0;
    /// When its work began: for a gang, when all members were there; -1 before.
    std::int64_t workSinceMs_ = -1;
    /// Work that the checkpoint it began with stands for.
    std::int64_t resumedMs_ = 0;
    std::int64_t stopAtMs_ = -1;
    std::int64_t percent_ = 0;
  };

  std::int64_t Clock() const { return 1000 + NowMs() - clockBase_; }

  const StepShape* ShapeOf(const std::string& aTask) const
  {
    const auto job = farm_.jobs_.find(aTask.substr(0, 16));
    if (job == farm_.jobs_.end()) {
      return nullptr;
    }
    const auto step = SplitTask(aTask).first;
    const auto number = std::stoul(step.substr(step.rfind('.') + 1));
    return number < job->second.size() ? &job->second[number] : nullptr;
  }

  Response Json(int aStatus, json aBody) const
  {
    aBody["wallClockMs"] = Clock();
    return { aStatus, aBody.dump() };
  }

  void TakeDeadline(const json& aBody)
  {
    const auto deadline = aBody.value("deadlineMs", std::int64_t{ 0 });
    leaseEnd_ =
      std::max(leaseEnd_, std::min(deadline, Clock() + options_.maxHoldMs_));
  }

  Response Serve(const Request& aRequest)
  {
    if (isCut_) {
      // The caller gives up before.
      SleepMs(2500);
      return { 0, "" };
    }
    const auto expected = aRequest.headers_.find("X-Expect-Instance");
    if (expected != aRequest.headers_.end() &&
        expected->second != options_.id_) {
      return { 421, "" };
    }
    const auto body = json::parse(aRequest.body_, nullptr, false);
    if (!body.is_object()) {
      return { 400, "" };
    }
    if (aRequest.path_ == "/run-start" && latePercent_ > 0) {
      thread_local std::mt19937 random{ std::random_device{}() };
      if (static_cast<int>(random() % 100) < latePercent_) {
        farm_.record_.Add("worker " + Name() + " leaves unanswered: start " +
                          body.value("task", "") + " run " +
                          std::to_string(body.value("runId", 0)));
        const auto life = life_.load();
        SleepMs(lateMs_);
        const std::lock_guard lock(farm_.mutex_);
        if (isUp_ && life == life_) {
          const auto late = Order(aRequest.path_, body);
          farm_.record_.Add("worker " + Name() + " carries out late: " +
                            body.value("task", "") + " -> " +
                            std::to_string(late.status_) + " " + late.body_);
        }
        return { 0, "" };
      }
    }
    std::unique_lock lock(farm_.mutex_);
    if (!isUp_) {
      return { 0, "" };
    }
    if (aRequest.path_ == "/hold") {
      return Hold(body, lock);
    }
    return Order(aRequest.path_, body);
  }

  bool IsFenced(const json& aBody)
  {
    const auto fence = aBody.value("fencingToken", std::uint64_t{ 0 });
    if (fence < fence_) {
      return true;
    }
    fence_ = fence;
    return false;
  }

  Response Order(const std::string& aPath, const json& aBody)
  {
    if (IsFenced(aBody)) {
      return Json(409, { { "reason", "fence" } });
    }
    const auto task = aBody.value("task", std::string());
    const auto run = aBody.value("runId", 0U);
    if (aPath == "/run-start") {
      TakeDeadline(aBody);
      const auto found = runs_.find(task);
      if (found != runs_.end() && found->second.run_ == run) {
        return Json(200, json::object());
      }
      if (run <= highest_[task] || found != runs_.end()) {
        return Json(409, { { "reason", "old" } });
      }
      if (Clock() >= leaseEnd_) {
        return Json(409, { { "reason", "late" } });
      }
      Run made;
      made.run_ = run;
      made.saved_ = aBody.value("checkpoint", std::string());
      made.startedAtMs_ = NowMs();
      if (!made.saved_.empty()) {
        farm_.CheckSaved(task, run, made.saved_);
        made.resumedMs_ = WorkOf(made.saved_);
      }
      runs_[task] = made;
      farm_.Note({ NowMs(), Name(), true, task, run, "" });
      return Json(200, json::object());
    }
    if (aPath == "/run-stop") {
      highest_[task] = std::max(highest_[task], run);
      const auto found = runs_.find(task);
      if (found != runs_.end() && found->second.run_ <= run &&
          found->second.stopAtMs_ < 0) {
        found->second.stopAtMs_ = NowMs() + options_.stopMs_;
      }
      return Json(200, json::object());
    }
    return Json(200, json::object());
  }

  Response Hold(const json& aBody, std::unique_lock<std::recursive_mutex>& aLock)
  {
    if (IsFenced(aBody)) {
      return Json(409, { { "reason", "fence" } });
    }
    TakeDeadline(aBody);
    const auto noted = aBody.value("lastSeen", std::uint64_t{ 0 });
    while (!ends_.empty() && ends_.front().first.number_ <= noted) {
      farm_.seen_[ends_.front().second].notedAtMs_ = NowMs();
      ends_.pop_front();
    }
    const auto life = life_.load();
    const auto until =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(aBody.value("waitMs", std::int64_t{ 0 }));
    while (ends_.empty() && isUp_ && life == life_ && !isCut_ &&
           std::chrono::steady_clock::now() < until) {
      farm_.changed_.wait_until(aLock, until);
    }
    if (!isUp_ || life != life_ || isCut_) {
      return { 0, "" };
    }
    auto running = json::array();
    for (const auto& [task, run] : runs_) {
      running.push_back({ task, run.run_, run.saved_, run.percent_, 0 });
    }
    auto ended = json::array();
    for (const auto& [end, at] : ends_) {
      if (ended.size() < 500) {
        ended.push_back(
          { end.number_, end.task_, end.run_, end.how_, end.saved_ });
      }
    }
    return Json(200,
                { { "running", running },
                  { "endedRuns", ended },
                  { "born", born_.load() } });
  }

  void EndRun(const std::string& aTask, const std::string& aHow)
  {
    const auto found = runs_.find(aTask);
    if (found == runs_.end()) {
      return;
    }
    const auto run = found->second;
    runs_.erase(found);
    highest_[aTask] = std::max(highest_[aTask], run.run_);
    const auto at =
      farm_.Note({ NowMs(), Name(), false, aTask, run.run_, aHow });
    ends_.emplace_back(
      End{ ++lastEnd_, aTask, run.run_, aHow, run.saved_ }, at);
    farm_.changed_.notify_all();
  }

  /// Whether all members of the gang's run are present.
  bool IsGangPresent(const std::string& aTask,
                     std::uint32_t aRun,
                     const StepShape& aShape) const
  {
    const auto step = SplitTask(aTask).first;
    std::uint32_t present = 0;
    for (const auto* worker : farm_.workers_) {
      for (const auto& [task, run] : worker->runs_) {
        present +=
          run.run_ == aRun && SplitTask(task).first == step ? 1 : 0;
      }
    }
    return present >= aShape.count_;
  }

  /// The others of a gang's run: all done, or broken.
  void EndOthers(const std::string& aTask,
                 std::uint32_t aRun,
                 const std::string& aHow)
  {
    const auto step = SplitTask(aTask).first;
    for (auto* worker : farm_.workers_) {
      std::vector<std::string> others;
      for (const auto& [task, run] : worker->runs_) {
        if (run.run_ == aRun && task != aTask &&
            SplitTask(task).first == step) {
          others.push_back(task);
        }
      }
      for (const auto& task : others) {
        // A member that fails by itself at this moment has failed.
        const bool fails = aHow == "failed" && worker->isGrey_ && farm_.failTogether_;
        worker->EndRun(task,
                       aHow == "done" ? "done" : (fails ? "failed" : "broken"));
      }
    }
  }

  void Tick(std::uint64_t aLife)
  {
    while (true) {
      SleepMs(10);
      const std::lock_guard lock(farm_.mutex_);
      if (!isUp_ || life_ != aLife) {
        return;
      }
      const auto now = NowMs();
      std::vector<std::pair<std::string, std::string>> ending;
      const bool hasLapsed = Clock() >= leaseEnd_;
      if (hasLapsed) {
        for (auto& [end, at] : ends_) {
          farm_.seen_[at].lapsedBefore_ = true;
        }
      }
      for (auto& [task, run] : runs_) {
        if (hasLapsed) {
          ending.emplace_back(task, "lapsed");
          continue;
        }
        if (run.stopAtMs_ >= 0) {
          if (now >= run.stopAtMs_) {
            ending.emplace_back(task, "stopped");
          }
          continue;
        }
        const auto* shape = ShapeOf(task);
        const StepShape plain;
        const auto& what = shape == nullptr ? plain : *shape;
        if (run.workSinceMs_ < 0) {
          if (!what.gang_ || IsGangPresent(task, run.run_, what)) {
            run.workSinceMs_ = now;
          } else if (now - run.startedAtMs_ >= farm_.gangTimeoutMs_) {
            ending.emplace_back(task, "alone");
          }
          continue;
        }
        const auto worked = run.resumedMs_ + now - run.workSinceMs_;
        if (what.saves_ && worked / kSaveMs > WorkOf(run.saved_) / kSaveMs) {
          run.saved_ = farm_.Save(task, run.run_, worked);
        }
        if (isGrey_ && now - run.workSinceMs_ >= kFailAfterMs) {
          ending.emplace_back(task, "failed");
        } else if (!what.lasts_ && worked >= what.workMs_) {
          ending.emplace_back(task, "done");
        }
        run.percent_ = what.lasts_ ? 100 : worked * 100 / what.workMs_;
      }
      for (const auto& [task, how] : ending) {
        const auto found = runs_.find(task);
        if (found == runs_.end()) {
          continue;
        }
        const auto run = found->second.run_;
        const auto* shape = ShapeOf(task);
        EndRun(task, how);
        if (shape != nullptr && shape->gang_) {
          EndOthers(task, run, how);
        }
      }
    }
  }

  void Report(std::uint64_t aLife)
  {
    auto node = std::hash<std::string>()(options_.id_);
    while (isUp_ && life_ == aLife) {
      bool taken = false;
      const bool wasDraining = isDraining_;
      if (!isCut_) {
        const json report{
          { "service", options_.pool_ },
          { "address", options_.address_ },
          { "zone", options_.zone_ },
          { "machine", options_.machine_ },
          { "version", "v1" },
          { "slots", 8 },
          { "state", isDraining_ ? "draining" : "ready" },
          { "drainRemainingMs", isDraining_ ? 2000 : 0 },
          { "coldRemainingMs", 0 },
          { "capacity",
            { { "cpu", options_.milliCores_ },
              { "memMb", options_.memMb_ },
              { "gpu", 0 } } },
          { "labels", { "a", options_.rack_ } },
          { "wallClockMs", Clock() },
          { "born", born_.load() },
          { "sequence", ++sequence_ }
        };
        const auto& control = options_.control_[node % options_.control_.size()];
        const auto answer = Call(control,
                                 "PUT",
                                 "/instances/" + options_.id_,
                                 control,
                                 report.dump(),
                                 1000);
        taken = answer && answer->status_ == 200;
      }
      node += taken ? 0 : 1;
      isDrainTaken_ = taken && wasDraining;
      for (int waited = 0; waited < (taken ? 1500 : 200) && isUp_ &&
                           isDraining_ == wasDraining;
           waited += 20) {
        SleepMs(20);
      }
    }
  }

  static std::int64_t WorkOf(const std::string& aSaved)
  {
    const auto at = aSaved.rfind('@');
    return at == std::string::npos ? 0 : std::stol(aSaved.substr(at + 1));
  }

  static constexpr std::int64_t kSaveMs = 400;
  /// After this time of work a worker that fails all has failed a task.
  static constexpr std::int64_t kFailAfterMs = 200;

  Farm& farm_;
  /// Held while a life begins or ends.
  std::mutex change_;
  const WorkerOptions options_;
  std::unique_ptr<Server> server_;
  std::thread reporter_;
  std::thread ticker_;
  std::atomic<bool> isUp_{ false };
  std::atomic<std::uint64_t> life_{ 0 };
  std::atomic<std::int64_t> born_{ 0 };
  std::int64_t clockBase_ = 0;
  std::uint64_t fence_ = 0;
  std::int64_t leaseEnd_ = 0;
  std::atomic<std::uint64_t> sequence_{ 0 };
  std::uint64_t lastEnd_ = 0;
  std::map<std::string, Run> runs_;
  /// Ends that are still listed, with their positions in what was seen.
  std::deque<std::pair<End, std::size_t>> ends_;
  std::map<std::string, std::uint32_t> highest_;
};

/// One process of the system.
struct Node
{
  std::string name_;
  std::string ip_;
  std::string zone_;
  bool isControl_ = false;
  pid_t pid_ = -1;
  /// The collector of its log reads nothing for now.
  std::shared_ptr<std::atomic<bool>> isStalled_ =
    std::make_shared<std::atomic<bool>>(false);
};

/// A small deployment on loopback addresses: the processes of the system are
/// started with the command of deploy/system.toml, from the repository's root.
class Deployment
{
public:
  Deployment(Record& aRecord, int aControls, int aEntries)
    : record_(aRecord)
  {
    std::random_device random;
    net_ = "127." + std::to_string(20 + random() % 200) + "." +
           std::to_string(1 + random() % 250) + ".";
    auto name =
      (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
    folder_ = ::mkdtemp(name.data());
    for (int i = 0; i < aControls; ++i) {
      nodes_.push_back({ "core-" + std::to_string(i + 1),
                         net_ + std::to_string(10 + i),
                         Zone(i),
                         true });
    }
    for (int i = 0; i < aEntries; ++i) {
      nodes_.push_back({ "edge-" + std::to_string(i + 1),
                         net_ + std::to_string(30 + i),
                         Zone(i),
                         false });
    }
    cloud_ = net_ + "99:8621";
  }

  ~Deployment()
  {
    for (auto& node : nodes_) {
      Kill(node);
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  static std::string Zone(int aIndex)
  {
    return "zone-" + std::string(1, static_cast<char>('a' + aIndex % 3));
  }

  std::string Address(int aHost, int aPort) const
  {
    return net_ + std::to_string(aHost) + ":" + std::to_string(aPort);
  }

  std::vector<std::string> Controls() const
  {
    std::vector<std::string> list;
    for (const auto& node : nodes_) {
      if (node.isControl_) {
        list.push_back(node.ip_ + ":8623");
      }
    }
    return list;
  }

  std::vector<std::string> Entries() const
  {
    std::vector<std::string> list;
    for (const auto& node : nodes_) {
      if (!node.isControl_) {
        list.push_back(node.ip_ + ":8624");
      }
    }
    return list;
  }

  bool StartAll()
  {
    for (auto& node : nodes_) {
      if (!Start(node, true)) {
        return false;
      }
    }
    return true;
  }

  /// Starts the process, with the settings that the platform fills in.
  bool Start(Node& aNode, bool aBootstrap)
  {
    const auto base = folder_ + "/" + aNode.name_;
    std::map<std::string, std::string> fields{
      { "ip", aNode.ip_ },
      { "nodeName", aNode.name_ },
      { "zone", aNode.zone_ },
      { "internalPortRange.0", "7060" },
      { "internalPortRange.1", "7075" },
      { "bootstrap", aBootstrap ? "true" : "false" },
      { "faultTolerance.machines", "1" },
      { "bounds.maxHoldMs", "6000" },
      { "bounds.status_s", "120" },
      { "cloudApi.address", cloud_ },
      { "cloudApi.dutyPerS", "64.0" },
    };
    std::string seeds;
    for (const auto& seed : Controls()) {
      seeds += (seeds.empty() ? "" : ",") + seed;
    }
    fields["seeds"] = seeds;
    if (aNode.isControl_) {
      fields["dataDir"] = base + "-data";
      fields["listen.control"] = aNode.ip_ + ":8623";
      std::filesystem::create_directories(base + "-data");
    } else {
      fields["listen.frontend"] = aNode.ip_ + ":8624";
      fields["listen.readiness"] = aNode.ip_ + ":8622";
    }
    std::ifstream in("deploy/settings.ini");
    std::stringstream text;
    text << in.rdbuf();
    std::ofstream(base + ".conf") << Fill(text.str(), fields);
    int pipe[2] = { -1, -1 };
    if (collectsLogs_ && ::pipe2(pipe, O_CLOEXEC) != 0) {
      return false;
    }
    const pid_t pid = ::fork();
    if (pid == 0) {
      // It ends with the stand-in, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log =
        collectsLogs_
          ? pipe[1]
          : ::open(
              (base + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      const auto conf = base + ".conf";
      const char* program = "target/packages/daemon/acaciahilld";
      ::execl(
        program, program, "--workload", "--config", conf.c_str(), nullptr);
      ::_exit(127);
    }
    aNode.pid_ = pid;
    if (collectsLogs_) {
      ::close(pipe[1]);
      std::thread([from = pipe[0], isStalled = aNode.isStalled_, base] {
        std::ofstream file(base + ".log", std::ios::app);
        char part[4096];
        while (true) {
          while (*isStalled) {
            SleepMs(10);
          }
          const auto count = ::read(from, part, sizeof part);
          if (count <= 0) {
            ::close(from);
            return;
          }
          file.write(part, count);
          file.flush();
        }
      }).detach();
    }
    record_.Add("process " + aNode.name_ + " started");
    return pid > 0;
  }

  void Signal(const Node& aNode, int aSignal)
  {
    record_.Add("process " + aNode.name_ + " gets signal " +
                std::to_string(aSignal));
    ::kill(aNode.pid_, aSignal);
  }

  void Kill(Node& aNode)
  {
    if (aNode.pid_ > 0) {
      ::kill(aNode.pid_, SIGCONT);
      ::kill(aNode.pid_, SIGKILL);
      ::waitpid(aNode.pid_, nullptr, 0);
      record_.Add("process " + aNode.name_ + " killed");
      aNode.pid_ = -1;
    }
  }

  /// Whether the process has ended by itself.
  bool HasEnded(Node& aNode)
  {
    int status = 0;
    if (aNode.pid_ > 0 && ::waitpid(aNode.pid_, &status, WNOHANG) > 0) {
      record_.Add("process " + aNode.name_ + " ended by itself, status " +
                  std::to_string(status));
      aNode.pid_ = -1;
      return true;
    }
    return false;
  }

  /// The control node whose scheduler is active, by its metrics.
  Node* Leader()
  {
    for (auto& node : nodes_) {
      if (!node.isControl_ || node.pid_ < 0) {
        continue;
      }
      const auto text = Call(
        node.ip_ + ":9100", "GET", "/metrics", node.ip_, "", 300);
      if (text && text->body_.find("acaciahill_scheduler_active 1") !=
                    std::string::npos) {
        return &node;
      }
    }
    return nullptr;
  }

  Node* WaitForLeader(int aTimeoutMs)
  {
    const auto until = NowMs() + aTimeoutMs;
    while (NowMs() < until) {
      if (auto* leader = Leader()) {
        return leader;
      }
      SleepMs(50);
    }
    return nullptr;
  }

  /// Sends the configuration until it is acknowledged.
  bool SendConfig(const json& aConfig)
  {
    const auto controls = Controls();
    for (int tries = 0; tries < 60; ++tries) {
      const auto& to = controls[static_cast<std::size_t>(tries) %
                                controls.size()];
      const auto answer = Call(to, "PUT", "/config", to, aConfig.dump(), 1000);
      record_.Add("operator PUT /config version " +
                  aConfig.at("version").dump() + " -> " +
                  std::to_string(answer ? answer->status_ : 0));
      if (answer && answer->status_ == 200) {
        return true;
      }
      SleepMs(250);
    }
    return false;
  }

  Record& record_;
  /// The processes write their logs into pipes, which a collector reads.
  bool collectsLogs_ = false;
  std::string net_;
  std::string folder_;
  std::string cloud_;
  std::vector<Node> nodes_;

private:
  /// Fills in the placeholders and sections that the template uses.
  static std::string Fill(std::string aText,
                          const std::map<std::string, std::string>& aFields)
  {
    for (auto at = aText.find("{{"); at != std::string::npos;
         at = aText.find("{{")) {
      const auto end = aText.find("}}", at);
      const auto name = aText.substr(at + 2, end - at - 2);
      if (name[0] == '#' || name[0] == '^') {
        const auto field = name.substr(1);
        const auto close = "{{/" + field + "}}";
        const auto closing = aText.find(close, end);
        const bool isKept = aFields.contains(field) == (name[0] == '#');
        const auto inner = aText.substr(end + 2, closing - end - 2);
        aText.replace(at,
                      closing + close.size() - at,
                      isKept ? inner : std::string());
      } else {
        const auto found = aFields.find(name);
        aText.replace(at,
                      end + 2 - at,
                      found == aFields.end() ? std::string() : found->second);
      }
    }
    return aText;
  }
};

} // namespace review
