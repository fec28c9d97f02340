#pragma once

#include "workload/scheduler_base.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace acaciahill::test {

/// One fake worker: runs what it is told, by the rules of the platform.
struct FakeWorker
{
  struct Run
  {
    std::uint32_t run_ = 0;
    MonotonicTime endsAt_{};
    RunEnd end_ = RunEnd::Done;
    bool isLongRunning_ = false;
    /// Members of a gang work from when all are there, and end together.
    bool gang_ = false;
    bool together_ = false;
    MonotonicTime startedAt_{};
    std::int64_t milliCores_ = 0;
    std::int64_t memoryMb_ = 0;
  };

  std::string id_;
  std::uint64_t processStartMs_ = 1;
  bool up_ = true;
  bool draining_ = false;
  /// Down for upkeep.
  bool inUpkeep_ = false;
  /// Reaches nobody, but runs on.
  bool cut_ = false;
  std::uint64_t fence_ = 0;
  std::int64_t leaseEndMs_ = 0;
  std::uint64_t nextEnd_ = 1;
  std::map<TaskKey, Run> runs_;
  /// Highest run that was stopped or ended here, by task.
  std::map<TaskKey, std::uint32_t> barred_;
  std::vector<EndedRun> ended_;
};

/// What went against the rules, in the order in which it was seen.
using Violations = std::vector<std::string>;

/// A scheduler with its log, fake workers and a clock. Leaders change, orders
/// are lost or carried out late, workers crash and come back, all by a seed.
class SchedulerDriver
{
public:
  struct Trouble
  {
    /// In thousandths of the orders.
    int answerLost_ = 0;
    int carriedOutLate_ = 0;
    /// In thousandths of the steps of 10 ms.
    int workerCrash_ = 0;
    int workerCut_ = 0;
    int leaderChange_ = 0;
    /// In thousandths of the ends.
    int failedEnd_ = 0;
  };

  SchedulerDriver(std::uint32_t aSeed, Trouble aTrouble);

  void AddWorker(const std::string& aId, const std::string& aPool);
  /// Gives a job to the scheduler; its acceptance is counted when answered.
  void Submit(const JobSpec& aSpec);
  void Cancel(JobId aJob);
  /// Lets time pass.
  void RunFor(Millis aTime);
  /// No more trouble from now on; what is cut is joined.
  void Calm();

  const Workload& Committed() const { return committed_; }
  const Scheduler& Current() const { return *scheduler_; }
  const Violations& Seen() const { return violations_; }
  const std::set<JobId>& Accepted() const { return accepted_; }
  /// When a task was first begun on a worker; nothing when it never was.
  std::map<TaskKey, MonotonicTime> firstStarts_;
  MonotonicTime Now() const { return now_; }
  /// Whether the leader hears a majority of the voters; true at first.
  bool hasMajority_ = true;
  /// Starts are carried out and their answers are lost.
  bool losesStartAnswers_ = false;
  /// Members of gangs that waited in vain for the others.
  std::size_t alone_ = 0;
  /// Orders to workers so far.
  std::size_t orders_ = 0;
  std::map<std::string, FakeWorker>& Workers() { return workers_; }
  void SetConfig(const WorkloadConfig& aConfig);
  void ChangeLeader();
  void Crash(const std::string& aId);
  /// The worker says that it will leave.
  void Drain(const std::string& aId);
  void StartWave(const UpkeepWave& aWave);
  /// Most VMs that were down for upkeep at once, and all that ever were.
  std::size_t mostDown_ = 0;
  std::set<std::string> maintained_;
  /// Tasks that last and were at work when their VM went down.
  std::size_t cutOff_ = 0;
  /// Settings of the next leaders; zones of workers by id.
  SchedulerSettings settings_;
  std::map<std::string, std::string> zones_;
  /// VMs that are off, and the VMs that the platform was asked to move.
  std::vector<VmListing> spareVms_;
  std::vector<std::string> moved_;

private:
  struct Late
  {
    MonotonicTime at_{};
    std::variant<StartRun, StopRun> order_;
  };

  int Draw(int aLimit)
  {
    return static_cast<int>(random_() % static_cast<unsigned>(aLimit));
  }
  bool Hits(int aThousandths) { return Draw(1000) < aThousandths; }
  void Step();
  template<typename Order>
  OrderAnswer Deliver(const Order& aOrder);
  void StepWorkers();
  void StepGangs();
  /// The tasks of the gang that the task belongs to, or only itself.
  std::vector<TaskKey> MembersOf(const TaskKey& aTask) const;
  void AnswerRenewals();
  void Answer(const RenewLease& aAction);
  void MakeTrouble();
  void TakeActions();
  void Do(const LogBatch& aAction);
  void Do(const AnswerRequest& aAction);
  void Do(const StartRun& aAction);
  void Do(const StopRun& aAction);
  void Do(const RenewLease& aAction);
  void Do(const PaceRun& aAction);
  void Do(const ListVms& aAction);
  void Do(const BeginUpkeep& aAction);
  void Do(const MoveVm& aAction);
  OrderAnswer CarryOut(FakeWorker& aWorker, const StartRun& aOrder);
  OrderAnswer CarryOut(FakeWorker& aWorker, const StopRun& aOrder);
  void EndRun(FakeWorker& aWorker, const TaskKey& aTask, RunEnd aEnd);
  void CheckStart(const StartRun& aOrder, const FakeWorker& aWorker);
  FakeWorker* Reach(const OrderTarget& aTarget);
  std::int64_t ClockOf(const FakeWorker& aWorker) const;
  void Report(const FakeWorker& aWorker);

  std::mt19937 random_;
  Trouble trouble_;
  MonotonicTime now_{ Millis(1000000) };
  std::uint64_t term_ = 0;
  WorkloadConfig config_;
  std::map<std::string, std::string> pools_;
  std::map<std::string, FakeWorker> workers_;
  std::map<std::string, MonotonicTime> cutUntil_;
  std::map<std::string, std::uint64_t> reports_;
  Workload committed_;
  std::unique_ptr<Scheduler> scheduler_;
  std::deque<std::pair<MonotonicTime, LogBatch>> log_;
  std::deque<Late> late_;
  /// Renewals that wait at their workers, with the leadership they are of.
  std::vector<std::tuple<std::uint64_t, MonotonicTime, RenewLease>> renewals_;
  std::map<RequestToken, JobId> submits_;
  std::map<RequestToken, JobId> cancels_;
  RequestToken nextToken_ = 1;
  std::set<JobId> accepted_;
  /// Tasks that ended as done, and those whose end was taken note of.
  std::set<TaskKey> endedDone_;
  std::set<TaskKey> notedDone_;
  /// Worker, life and number of ends that were listed when a lease lapsed.
  std::set<std::tuple<std::string, std::uint64_t, std::uint64_t>> lapsedEnds_;
  std::map<JobId, JobSpec> specs_;
  /// Runs that were logged as done.
  std::set<std::pair<TaskKey, std::uint32_t>> loggedDone_;
  Violations violations_;
};

} // namespace acaciahill::test
