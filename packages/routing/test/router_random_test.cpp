#include "routing/router_base.h"

#include "kernel/error_func.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>

using namespace acaciahill;
using namespace std::chrono_literals;

namespace {

constexpr int kSeeds = 200;
constexpr int kSteps = 600;
constexpr std::int64_t kNodeLimit = 6;

struct SentAttempt
{
  RequestId id_ = 0;
  std::string vm_;
};

struct RequestState
{
  RequestArrived input_;
  /// An attempt may have reached a target.
  bool delivered_ = false;
  bool inFlight_ = false;
  bool ended_ = false;
  int attempts_ = 0;
};

/// Feeds random inputs to a RouterCore and checks every action.
class RandomRun
{
public:
  explicit RandomRun(std::uint64_t aSeed)
    : random_(aSeed)
    , core_([aSeed] {
      RouterSettings settings;
      settings.zone_ = "z0";
      settings.seed_ = aSeed;
      settings.maxInFlight_ = kNodeLimit;
      return settings;
    }())
  {
    ChangePools();
    ChangeTargets();
  }

  void Run()
  {
    for (int i = 0; i < kSteps; ++i) {
      now_ += Millis{ Pick(15) };
      FeedRandomInput();
      CheckInFlight();
    }
    if (Pick(2) == 0) {
      Feed(RouterStop{});
    }
    while (!sent_.empty()) {
      now_ += 5ms;
      FinishOne();
    }
    for (int i = 0; i < 20 && !core_.IsIdle(); ++i) {
      now_ += 5s;
      Feed(RouterTick{});
      while (!sent_.empty()) {
        FinishOne();
      }
    }
    CHECK(core_.IsIdle());
    for (const auto& [id, request] : requests_) {
      CHECK(request.ended_);
    }
    now_ += 10s;
    CHECK(core_.InFlight(now_).empty());
    for (const auto& [pool, load] : core_.Loads()) {
      CHECK(load.inFlight_ == 0);
      CHECK(load.queued_ == 0);
    }
    // A pool that is not listed is removed once it has no requests.
    Feed(PoolsChanged{});
    CHECK(core_.Loads().empty());
  }

private:
  int Pick(int aCount)
  {
    return std::uniform_int_distribution<int>(0, aCount - 1)(random_);
  }

  void FeedRandomInput()
  {
    const int percent = Pick(100);
    if (percent < 45) {
      Arrive();
    } else if (percent < 80) {
      FinishOne();
    } else if (percent < 88) {
      Cancel();
    } else if (percent < 93) {
      ChangeTargets();
    } else if (percent < 95) {
      ChangePools();
    } else {
      Feed(RouterTick{});
    }
  }

  void Arrive()
  {
    RequestArrived input;
    input.id_ = ++lastId_;
    input.pool_ = "p" + std::to_string(Pick(4));
    input.caller_ = "c" + std::to_string(Pick(3));
    input.deadline_ = now_ + Millis{ Pick(800) };
    input.repeatable_ = Pick(2) == 0;
    input.urgent_ = Pick(8) == 0;
    requests_[input.id_].input_ = input;
    Feed(input);
    CheckArrival(input);
  }

  /// Checks that an accepted request is within the limits of its pool.
  void CheckArrival(const RequestArrived& aInput)
  {
    const auto& arrived = requests_.at(aInput.id_);
    if (arrived.ended_) {
      return;
    }
    const auto& row = rows_.at(aInput.pool_);
    if (!arrived.inFlight_) {
      CHECK(core_.Loads().at(aInput.pool_).queued_ <= row.queueLimit_);
    }
    std::int64_t callerRequests = 0;
    for (const auto& [id, request] : requests_) {
      const bool isActive = !request.ended_ || request.inFlight_;
      callerRequests += isActive && request.input_.pool_ == aInput.pool_ &&
                            request.input_.caller_ == aInput.caller_
                          ? 1
                          : 0;
    }
    CHECK(callerRequests <= row.callerLimit_);
  }

  void Cancel()
  {
    if (lastId_ > 0) {
      // Sometimes an id that has ended or is unknown.
      const auto distance = static_cast<RequestId>(Pick(10));
      Feed(RequestCancelled{ lastId_ > distance ? lastId_ - distance
                                                : lastId_ + 1 });
    }
  }

  void FinishOne()
  {
    if (sent_.empty()) {
      return;
    }
    const auto index =
      static_cast<std::size_t>(Pick(static_cast<int>(sent_.size())));
    const auto sent = sent_[index];
    sent_.erase(sent_.begin() + static_cast<std::ptrdiff_t>(index));
    static constexpr AttemptEnd kAttemptEnds[] = {
      AttemptEnd::Answered, AttemptEnd::Answered,      AttemptEnd::Answered,
      AttemptEnd::NotSent,  AttemptEnd::TargetRefused, AttemptEnd::Lost,
      AttemptEnd::TimedOut, AttemptEnd::Malformed,     AttemptEnd::TooLarge,
      AttemptEnd::Expired
    };
    static constexpr std::int64_t kStatuses[] = { 200, 404, 500, 502, 503 };
    const auto end = kAttemptEnds[Pick(std::size(kAttemptEnds))];
    auto& request = requests_.at(sent.id_);
    request.inFlight_ = false;
    request.delivered_ =
      request.delivered_ ||
      (end != AttemptEnd::NotSent && end != AttemptEnd::TargetRefused &&
       end != AttemptEnd::Expired);
    Feed(AttemptFinished{ sent.id_,
                          sent.vm_,
                          end,
                          kStatuses[Pick(std::size(kStatuses))],
                          Millis{ Pick(600) } });
  }

  void ChangeTargets()
  {
    targets_.clear();
    for (int i = 0; i < 8; ++i) {
      if (Pick(4) == 0) {
        continue;
      }
      TargetView view;
      view.vm_ = "vm" + std::to_string(i);
      view.pool_ = "p" + std::to_string(Pick(12) == 0 ? Pick(3) : i % 3);
      view.zone_ = "z" + std::to_string(i % 2);
      view.address_ = "a";
      view.epoch_ = static_cast<std::uint64_t>(Pick(2));
      view.slots_ = 1 + Pick(4);
      view.connections_ = Pick(3) == 0 ? 2 : 0;
      view.announcedRunning_ = static_cast<std::uint32_t>(Pick(5));
      view.validUntil_ = now_ + Millis{ Pick(1500) };
      targets_[view.vm_] = view;
    }
    TargetsChanged input;
    for (const auto& [vm, view] : targets_) {
      input.targets_.push_back(view);
    }
    Feed(input);
  }

  void ChangePools()
  {
    PoolsChanged input;
    rows_.clear();
    for (int i = 0; i < 3; ++i) {
      if (Pick(10) == 0) {
        continue;
      }
      PoolRow row;
      row.pool_ = "p" + std::to_string(i);
      row.weight_ = std::int64_t{ 100 } * Pick(3);
      row.queueLimit_ = Pick(6);
      row.callerLimit_ = 2 + Pick(4);
      row.retryPercent_ = std::int64_t{ 50 } * Pick(3);
      rows_[row.pool_] = row;
      input.rows_.push_back(row);
    }
    input.entryNodesInZone_ = 1 + Pick(3);
    input.entryNodes_ = input.entryNodesInZone_ + Pick(3);
    nodes_ = input.entryNodes_;
    nodesInZone_ = input.entryNodesInZone_;
    Feed(input);
  }

  void Feed(const RouterInput& aInput)
  {
    for (const auto& action : core_.Step(aInput, now_)) {
      std::visit([this](const auto& aAction) { Check(aAction); }, action);
    }
  }

  void Check(const DispatchRequest& aAction)
  {
    auto& request = requests_.at(aAction.id_);
    CHECK_FALSE(request.ended_);
    CHECK_FALSE(request.inFlight_);
    CHECK((!request.delivered_ || request.input_.repeatable_));
    CHECK(++request.attempts_ == aAction.attempt_);
    CHECK(request.attempts_ <= 3);
    CHECK(aAction.timeout_ <= request.input_.deadline_);
    CHECK(request.input_.deadline_ > now_);
    REQUIRE(targets_.contains(aAction.vm_));
    const auto& target = targets_.at(aAction.vm_);
    CHECK(target.pool_ == request.input_.pool_);
    CHECK(target.validUntil_ > now_);
    CHECK(target.epoch_ == aAction.epoch_);
    request.inFlight_ = true;
    sent_.push_back({ aAction.id_, aAction.vm_ });
    std::int64_t atTarget = 0;
    for (const auto& sent : sent_) {
      atTarget += sent.vm_ == aAction.vm_ ? 1 : 0;
    }
    CHECK(atTarget <= target.slots_);
    const auto nodes = target.zone_ == "z0" ? nodesInZone_ : nodes_;
    if (target.connections_ > 0) {
      CHECK(atTarget <= (target.connections_ + nodes - 1) / nodes);
    }
    CHECK(static_cast<std::int64_t>(sent_.size()) <= kNodeLimit);
  }

  void Check(const CompleteRequest& aAction)
  {
    CHECK(requests_.at(aAction.id_).delivered_);
    End(aAction.id_);
  }

  void Check(const RefuseRequest& aAction)
  {
    const auto& request = requests_.at(aAction.id_);
    const auto outcome = AnswerOf(aAction.kind_).outcome_;
    // A request in flight may run; a delivered one may have run.
    const bool mayHaveRun = request.delivered_ || request.inFlight_;
    CHECK((outcome == Outcome::Unknown) == mayHaveRun);
    End(aAction.id_);
  }

  void End(RequestId aId)
  {
    auto& request = requests_.at(aId);
    CHECK_FALSE(request.ended_);
    request.ended_ = true;
  }

  void CheckInFlight()
  {
    std::map<std::string, std::uint32_t> expected;
    for (const auto& sent : sent_) {
      ++expected[sent.vm_];
    }
    const auto counted = core_.InFlight(now_);
    for (const auto& [vm, count] : expected) {
      REQUIRE(counted.contains(vm));
      CHECK(counted.at(vm) >= count);
    }
  }

  std::mt19937_64 random_;
  RouterCore core_;
  MonotonicTime now_{ 100s };
  RequestId lastId_ = 0;
  std::map<RequestId, RequestState> requests_;
  std::vector<SentAttempt> sent_;
  std::map<std::string, TargetView> targets_;
  std::map<std::string, PoolRow> rows_;
  std::int64_t nodes_ = 1;
  std::int64_t nodesInZone_ = 1;
};

} // namespace

// Guards against requests that end twice or never, non-repeatable requests that
// run twice, dispatch to targets that may not be used, and counters of limits
// that are not released.
TEST_CASE("random inputs keep the invariants of the router")
{
  for (int seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    RandomRun(static_cast<std::uint64_t>(seed)).Run();
  }
}
