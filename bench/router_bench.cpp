// Steps the routing cores of all entry nodes against fake targets, with one
// rule after the other switched off:
//   bench_router SEED FOLDER [SECONDS]
// Appends to FOLDER/router.csv. A case is run for all rules with the same
// seed; ratios are against the run with all rules.
#include "bench_func.h"

#include "routing/router_base.h"

#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <random>

using namespace acaciahill;
using namespace acaciahill::bench;

namespace {

constexpr int kNodes = 8;
constexpr int kZones = 3;
constexpr int kSlots = 8;
constexpr int kVmsPerRack = 4;
constexpr std::int64_t kServiceMs = 200;
constexpr std::int64_t kDeadlineMs = 2000;
constexpr std::int64_t kBurstMs = 6000;
constexpr std::int64_t kAnnounceMs = 2000;
constexpr std::int64_t kTickMs = 20;
constexpr std::int64_t kTargetQueue = 64;
/// A burst is five times the mean; 0.25 of the slots as mean lets it exceed the
/// pool's capacity by a quarter.
constexpr double kBurstShare = 1.25;
constexpr double kQuietShare = 0.25 / 20;

/// How the targets of the first pool fail.
struct Fault
{
  std::string name_;
  /// Targets concerned, from the first one on.
  int targets_ = 0;
  /// The service time is this many times the usual one.
  double slow_ = 1;
  /// Share of requests answered 500 at once.
  double errors_ = 0;
  /// Connections are refused at once.
  bool refuse_ = false;
  /// Requests are taken and never answered.
  bool hang_ = false;
  /// A target whose slots are full answers 503 instead of queueing.
  bool busy_ = false;
  std::int64_t fromMs_ = 0;
  std::int64_t untilMs_ = 0;
  /// The deadline of callers.
  std::int64_t deadlineMs_ = kDeadlineMs;
};

struct Rule
{
  std::string name_;
  std::function<void(RouterSettings&)> change_;
  bool shares_ = true;
};

struct Counts
{
  std::int64_t all_ = 0;
  std::int64_t inTime_ = 0;
  std::int64_t late_ = 0;
  std::int64_t failed_ = 0;
  std::int64_t refused_ = 0;
  std::int64_t sendings_ = 0;
  std::vector<double> latencies_;
};

class RouterRun
{
public:
  RouterRun(const Rule& aRule,
            const Fault& aFault,
            std::uint64_t aSeed,
            std::int64_t aMs)
    : rule_(aRule)
    , fault_(aFault)
    , endMs_(aMs)
    , random_(aSeed)
    , arrivals_(aSeed + 1000000)
  {
    MakeTargets();
    for (int i = 0; i < kNodes; ++i) {
      RouterSettings settings;
      settings.zone_ = Zone(i);
      settings.seed_ = aSeed * 100 + static_cast<std::uint64_t>(i);
      rule_.change_(settings);
      cores_.push_back(std::make_unique<RouterCore>(settings));
    }
  }

  Counts Run();

private:
  struct Job
  {
    int node_ = 0;
    RequestId id_ = 0;
    std::uint64_t attempt_ = 0;
  };

  struct Target
  {
    TargetView view_;
    bool faulty_ = false;
    std::int64_t running_ = 0;
    std::deque<Job> waiting_;
  };

  struct Event
  {
    std::int64_t at_ = 0;
    std::uint64_t order_ = 0;
    std::function<void()> do_;
    bool operator>(const Event& aOther) const
    {
      return std::pair(at_, order_) > std::pair(aOther.at_, aOther.order_);
    }
  };

  static std::string Zone(int aIndex)
  {
    return "z" + std::to_string(aIndex % kZones);
  }
  MonotonicTime Time(std::int64_t aMs) const
  {
    return MonotonicTime(Millis(1000000 + aMs));
  }
  void At(std::int64_t aMs, std::function<void()> aDo)
  {
    events_.push({ aMs, nextEvent_++, std::move(aDo) });
  }
  bool IsFaulty(const Target& aTarget) const
  {
    return aTarget.faulty_ && now_ >= fault_.fromMs_ && now_ < fault_.untilMs_;
  }
  static double Uniform(std::mt19937_64& aRandom)
  {
    return std::uniform_real_distribution<double>(0, 1)(aRandom);
  }

  void MakeTargets();
  void Announce();
  void Arrive(int aPool);
  void Step(int aNode, const RouterInput& aInput);
  void Send(int aNode, const DispatchRequest& aSend);
  void Finish(const Job& aJob,
              const std::string& aVm,
              AttemptEnd aEnd,
              std::int64_t aStatus);
  void Begin(const std::string& aVm, const Job& aJob);
  void Tick(int aNode);

  const Rule& rule_;
  const Fault& fault_;
  std::int64_t endMs_;
  std::mt19937_64 random_;
  /// Separate, so that all rules meet the same requests.
  std::mt19937_64 arrivals_;
  std::int64_t now_ = 0;
  std::uint64_t nextEvent_ = 0;
  std::uint64_t nextRequest_ = 0;
  std::uint64_t nextAttempt_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::unique_ptr<RouterCore>> cores_;
  std::map<std::string, Target> targets_;
  /// Requests by id: when they came, and the status of their last answer.
  std::map<RequestId, std::pair<std::int64_t, std::int64_t>> requests_;
  /// Open sendings, and when each began.
  std::map<std::uint64_t, std::int64_t> attempts_;
  std::vector<PoolRow> rows_;
  Counts counts_;
};

void
RouterRun::MakeTargets()
{
  const std::vector<std::pair<std::string, int>> pools{
    { "p1", 10 }, { "p2", 10 }, { "p3", 11 }, { "p4", 12 }
  };
  int number = 0;
  for (const auto& [name, size] : pools) {
    PoolRow row;
    row.pool_ = name;
    row.size_ = size;
    row.callerLimit_ = 1000;
    rows_.push_back(row);
    for (int i = 0; i < size; ++i) {
      Target target;
      const auto vm = "vm" + std::to_string(100 + number++);
      target.view_ = { vm, name, Zone(i), vm, 1, kSlots, 64, 0, {} };
      target.faulty_ = name == "p1" && i < fault_.targets_;
      targets_.emplace(vm, target);
    }
  }
}

void
RouterRun::Announce()
{
  std::vector<TargetView> views;
  for (auto& [vm, target] : targets_) {
    target.view_.announcedRunning_ = static_cast<std::uint32_t>(
      target.running_ + static_cast<std::int64_t>(target.waiting_.size()));
    target.view_.validUntil_ = Time(now_ + 5000);
    views.push_back(target.view_);
  }
  for (int node = 0; node < kNodes; ++node) {
    Step(node, TargetsChanged{ views });
  }
  if (now_ < endMs_) {
    At(now_ + kAnnounceMs, [this] { Announce(); });
  }
}

void
RouterRun::Arrive(int aPool)
{
  // Bursts take turns over the pools.
  const auto& row = rows_[static_cast<std::size_t>(aPool)];
  const bool isBurst =
    now_ / kBurstMs % static_cast<std::int64_t>(rows_.size()) == aPool;
  const auto capacity =
    static_cast<double>(row.size_ * kSlots) / static_cast<double>(kServiceMs);
  const auto rate = capacity * (isBurst ? kBurstShare : kQuietShare);
  if (now_ > 0) {
    RequestArrived request;
    request.id_ = ++nextRequest_;
    request.pool_ = row.pool_;
    request.caller_ = "c" + std::to_string(request.id_ % 20);
    request.deadline_ = Time(now_ + fault_.deadlineMs_);
    request.repeatable_ = Uniform(arrivals_) < 0.7;
    requests_[request.id_] = { now_, 0 };
    ++counts_.all_;
    Step(static_cast<int>(arrivals_() % kNodes), request);
  }
  const auto pause = std::exponential_distribution<double>(rate)(arrivals_);
  // A quiet pool must not sleep through the start of its burst.
  const auto next = std::min<std::int64_t>(
    now_ + static_cast<std::int64_t>(pause + Uniform(arrivals_)),
    (now_ / kBurstMs + 1) * kBurstMs);
  if (next < endMs_) {
    At(next, [this, aPool] { Arrive(aPool); });
  }
}

void
RouterRun::Step(int aNode, const RouterInput& aInput)
{
  auto& core = *cores_[static_cast<std::size_t>(aNode)];
  for (const auto& action : core.Step(aInput, Time(now_))) {
    if (const auto* send = std::get_if<DispatchRequest>(&action)) {
      Send(aNode, *send);
    } else if (const auto* whole = std::get_if<CompleteRequest>(&action)) {
      const auto [came, status] = requests_.at(whole->id_);
      const auto took = now_ - came;
      if (status >= 400) {
        ++counts_.failed_;
      } else if (took > fault_.deadlineMs_) {
        ++counts_.late_;
      } else {
        ++counts_.inTime_;
        counts_.latencies_.push_back(static_cast<double>(took));
      }
    } else {
      const auto& refusal = std::get<RefuseRequest>(action);
      const auto id = refusal.id_;
      const bool isLate = now_ - requests_.at(id).first >= fault_.deadlineMs_;
      ++(isLate ? counts_.late_ : counts_.refused_);
    }
  }
}

void
RouterRun::Send(int aNode, const DispatchRequest& aSend)
{
  ++counts_.sendings_;
  const Job job{ aNode, aSend.id_, ++nextAttempt_ };
  attempts_[job.attempt_] = now_;
  auto& target = targets_.at(aSend.vm_);
  const auto vm = aSend.vm_;
  const auto limit = aSend.timeout_ - Time(0);
  At(std::max(now_ + 1, static_cast<std::int64_t>(limit.count())),
     [this, job, vm] { Finish(job, vm, AttemptEnd::TimedOut, 0); });
  const bool faulty = IsFaulty(target);
  if (faulty && fault_.refuse_) {
    At(now_ + 1, [this, job, vm] { Finish(job, vm, AttemptEnd::NotSent, 0); });
    return;
  }
  if (faulty && fault_.hang_) {
    return;
  }
  if (faulty && Uniform(random_) < fault_.errors_) {
    At(now_ + 2,
       [this, job, vm] { Finish(job, vm, AttemptEnd::Answered, 500); });
    return;
  }
  if (target.running_ >= kSlots) {
    const auto waiting = static_cast<std::int64_t>(target.waiting_.size());
    if (fault_.busy_ || waiting >= kTargetQueue) {
      At(now_ + 1,
         [this, job, vm] { Finish(job, vm, AttemptEnd::Answered, 503); });
    } else {
      target.waiting_.push_back(job);
    }
    return;
  }
  Begin(vm, job);
}

void
RouterRun::Begin(const std::string& aVm, const Job& aJob)
{
  auto& target = targets_.at(aVm);
  ++target.running_;
  const double mean =
    static_cast<double>(kServiceMs) * (IsFaulty(target) ? fault_.slow_ : 1.0);
  const auto took = std::max<std::int64_t>(
    1,
    static_cast<std::int64_t>(
      std::gamma_distribution<double>(4, mean / 4)(random_)));
  At(now_ + took, [this, aVm, aJob] {
    auto& ended = targets_.at(aVm);
    --ended.running_;
    Finish(aJob, aVm, AttemptEnd::Answered, 200);
    // Work that its caller gave up is found out only when it starts.
    while (!ended.waiting_.empty() && ended.running_ < kSlots) {
      const auto next = ended.waiting_.front();
      ended.waiting_.pop_front();
      if (attempts_.contains(next.attempt_)) {
        Begin(aVm, next);
      }
    }
  });
}

void
RouterRun::Finish(const Job& aJob,
                  const std::string& aVm,
                  AttemptEnd aEnd,
                  std::int64_t aStatus)
{
  const auto found = attempts_.find(aJob.attempt_);
  if (found == attempts_.end()) {
    return;
  }
  const auto began = found->second;
  attempts_.erase(found);
  requests_.at(aJob.id_).second = aStatus;
  Step(aJob.node_,
       AttemptFinished{ aJob.id_, aVm, aEnd, aStatus, Millis(now_ - began) });
}

void
RouterRun::Tick(int aNode)
{
  if (cores_[static_cast<std::size_t>(aNode)]->Waiting() > 0) {
    Step(aNode, RouterTick{});
  }
  if (now_ < endMs_ + 2 * fault_.deadlineMs_) {
    At(now_ + kTickMs, [this, aNode] { Tick(aNode); });
  }
}

Counts
RouterRun::Run()
{
  PoolsChanged pools;
  pools.rows_ = rows_;
  for (int node = 0; node < kNodes; ++node) {
    if (rule_.shares_) {
      pools.entryNodes_ = kNodes;
      pools.entryNodesInZone_ = (kNodes - node % kZones + kZones - 1) / kZones;
    }
    Step(node, pools);
    At(node, [this, node] { Tick(node); });
  }
  At(0, [this] { Announce(); });
  for (int pool = 0; pool < static_cast<int>(rows_.size()); ++pool) {
    At(0, [this, pool] { Arrive(pool); });
  }
  while (!events_.empty()) {
    const auto event = events_.top();
    events_.pop();
    now_ = event.at_;
    event.do_();
  }
  return counts_;
}

std::vector<Rule>
Rules()
{
  const auto none = [](RouterSettings&) {};
  return {
    { "all rules", none },
    { "one random choice",
      [](auto& aSettings) { aSettings.twoChoices_ = false; } },
    { "no slot shares", none, false },
    { "no consecutive errors",
      [](auto& aSettings) { aSettings.breakerFailures_ = 1000000; } },
    { "no error rate",
      [](auto& aSettings) { aSettings.breakerPercent_ = 1000; } },
    { "no floor", [](auto& aSettings) { aSettings.breakerMinResults_ = 1; } },
    { "no single probe",
      [](auto& aSettings) { aSettings.singleProbe_ = false; } },
    { "no doubling",
      [](auto& aSettings) {
        aSettings.breakerCooldownLimit_ = aSettings.breakerCooldown_;
      } },
    { "no keep all",
      [](auto& aSettings) { aSettings.keepAllWhenAllOpen_ = false; } },
    { "busy is broken",
      [](auto& aSettings) { aSettings.busyIsError_ = true; } },
    { "attempt floor 250 ms",
      [](auto& aSettings) { aSettings.attemptFloor_ = Millis(250); } },
    { "attempt floor 1000 ms",
      [](auto& aSettings) { aSettings.attemptFloor_ = Millis(1000); } },
    { "no breaker",
      [](auto& aSettings) {
        aSettings.breakerFailures_ = 1000000;
        aSettings.breakerPercent_ = 1000;
      } },
  };
}

std::vector<Fault>
Faults(std::int64_t aEndMs)
{
  std::vector<Fault> faults(9);
  const auto third = aEndMs / 3;
  for (auto& fault : faults) {
    fault.fromMs_ = 2000;
    fault.untilMs_ = aEndMs - 2000;
  }
  faults[0].name_ = "healthy";
  faults[1].name_ = "two slow targets";
  faults[1].targets_ = 2;
  faults[1].slow_ = 5;
  faults[2].name_ = "two refuse connections";
  faults[2].targets_ = 2;
  faults[2].refuse_ = true;
  faults[3].name_ = "two hang";
  faults[3].targets_ = 2;
  faults[3].hang_ = true;
  faults[4].name_ = "two answer 500 for 70%";
  faults[4].targets_ = 2;
  faults[4].errors_ = 0.7;
  faults[5].name_ = "all answer 500 for 70%";
  faults[5].targets_ = 10;
  faults[5].errors_ = 0.7;
  faults[6].name_ = "busy targets answer 503";
  faults[6].targets_ = 10;
  faults[6].busy_ = true;
  faults[7].name_ = "two hang for a third";
  faults[7].targets_ = 2;
  faults[7].hang_ = true;
  faults[7].fromMs_ = third;
  faults[7].untilMs_ = 2 * third;
  faults[8].name_ = "all slow with short deadlines";
  faults[8].targets_ = 10;
  faults[8].slow_ = 2;
  faults[8].deadlineMs_ = 600;
  return faults;
}

} // namespace

int
main(int aCount, char** aWords)
{
  if (aCount < 3) {
    std::cerr << "usage: bench_router SEED FOLDER [SECONDS]\n";
    return 2;
  }
  try {
    const auto seed = std::stoull(aWords[1]);
    const std::int64_t ms = (aCount > 3 ? std::stoll(aWords[3]) : 60) * 1000;
    CsvFile file(std::string(aWords[2]) + "/router.csv",
                 "seed,seconds,case,rule,requests,in_time,late,failed,refused,"
                 "sendings,p50_ms,p99_ms,in_time_ratio,lost_ratio");
    for (const auto& fault : Faults(ms)) {
      double inTime = 0;
      double lost = 0;
      for (const auto& rule : Rules()) {
        const auto counts = RouterRun(rule, fault, seed, ms).Run();
        const auto good = static_cast<double>(counts.inTime_);
        const auto bad = static_cast<double>(counts.all_ - counts.inTime_);
        if (rule.name_ == "all rules") {
          inTime = good;
          lost = bad;
        }
        file.Line(seed,
                  ms / 1000,
                  fault.name_,
                  rule.name_,
                  counts.all_,
                  counts.inTime_,
                  counts.late_,
                  counts.failed_,
                  counts.refused_,
                  counts.sendings_,
                  Quantile(counts.latencies_, 0.5),
                  Quantile(counts.latencies_, 0.99),
                  good / inTime,
                  lost > 0 ? bad / lost : 0);
      }
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
  return 0;
}
