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

struct Sent
{
  RequestId id_ = 0;
  std::string vm_;
};

struct Known
{
  RequestArrived input_;
  /// An attempt of it may have reached a target.
  bool delivered_ = false;
  bool inFlight_ = false;
  bool ended_ = false;
  int attempts_ = 0;
};

/// Drives a core with random inputs and checks every action.
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
      OneStep();
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
    for (const auto& [id, known] : known_) {
      CHECK(known.ended_);
    }
    now_ += 10s;
    CHECK(core_.InFlight(now_).empty());
    for (const auto& [pool, load] : core_.Loads()) {
      CHECK(load.inFlight_ == 0);
      CHECK(load.queued_ == 0);
    }
    // A pool goes once nobody holds a place in it.
    Feed(PoolsChanged{});
    CHECK(core_.Loads().empty());
  }

private:
  int Pick(int aCount)
  {
    return std::uniform_int_distribution<int>(0, aCount - 1)(random_);
  }

  void OneStep()
  {
    const int choice = Pick(100);
    if (choice < 45) {
      Arrive();
    } else if (choice < 80) {
      FinishOne();
    } else if (choice < 88) {
      Cancel();
    } else if (choice < 93) {
      ChangeTargets();
    } else if (choice < 95) {
      ChangePools();
    } else {
      Feed(RouterTick{});
    }
  }

  void Arrive()
  {
    RequestArrived input;
    input.id_ = ++ids_;
    input.pool_ = "p" + std::to_string(Pick(4));
    input.caller_ = "c" + std::to_string(Pick(3));
    input.deadline_ = now_ + Millis{ Pick(800) };
    input.repeatable_ = Pick(2) == 0;
    input.urgent_ = Pick(8) == 0;
    known_[input.id_].input_ = input;
    Feed(input);
    CheckArrival(input);
  }

  /// A request that was taken is within the limits of its pool.
  void CheckArrival(const RequestArrived& aInput)
  {
    const auto& arrived = known_.at(aInput.id_);
    if (arrived.ended_) {
      return;
    }
    const auto& row = rows_.at(aInput.pool_);
    if (!arrived.inFlight_) {
      CHECK(core_.Loads().at(aInput.pool_).queued_ <= row.queueLimit_);
    }
    std::int64_t ofCaller = 0;
    for (const auto& [id, known] : known_) {
      const bool isOpen = !known.ended_ || known.inFlight_;
      ofCaller += isOpen && known.input_.pool_ == aInput.pool_ &&
                      known.input_.caller_ == aInput.caller_
                    ? 1
                    : 0;
    }
    CHECK(ofCaller <= row.callerLimit_);
  }

  void Cancel()
  {
    if (ids_ > 0) {
      // An old or unknown id at times.
      const auto back = static_cast<RequestId>(Pick(10));
      Feed(RequestCancelled{ ids_ > back ? ids_ - back : ids_ + 1 });
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
    static constexpr AttemptEnd kEnds[] = {
      AttemptEnd::Answered, AttemptEnd::Answered,      AttemptEnd::Answered,
      AttemptEnd::NotSent,  AttemptEnd::TargetRefused, AttemptEnd::Lost,
      AttemptEnd::TimedOut, AttemptEnd::Malformed,     AttemptEnd::TooLarge,
      AttemptEnd::Expired
    };
    static constexpr std::int64_t kStatuses[] = { 200, 404, 500, 502, 503 };
    const auto end = kEnds[Pick(std::size(kEnds))];
    auto& known = known_.at(sent.id_);
    known.inFlight_ = false;
    known.delivered_ = known.delivered_ || (end != AttemptEnd::NotSent &&
                                            end != AttemptEnd::TargetRefused &&
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
    auto& known = known_.at(aAction.id_);
    CHECK_FALSE(known.ended_);
    CHECK_FALSE(known.inFlight_);
    CHECK((!known.delivered_ || known.input_.repeatable_));
    CHECK(++known.attempts_ == aAction.attempt_);
    CHECK(known.attempts_ <= 3);
    CHECK(aAction.timeout_ <= known.input_.deadline_);
    CHECK(known.input_.deadline_ > now_);
    REQUIRE(targets_.contains(aAction.vm_));
    const auto& target = targets_.at(aAction.vm_);
    CHECK(target.pool_ == known.input_.pool_);
    CHECK(target.validUntil_ > now_);
    CHECK(target.epoch_ == aAction.epoch_);
    known.inFlight_ = true;
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
    CHECK(known_.at(aAction.id_).delivered_);
    End(aAction.id_);
  }

  void Check(const RefuseRequest& aAction)
  {
    const auto& known = known_.at(aAction.id_);
    const auto outcome = AnswerOf(aAction.kind_).outcome_;
    // A request that is at a target may run; one that was delivered may have.
    const bool mayHaveRun = known.delivered_ || known.inFlight_;
    CHECK((outcome == Outcome::Unknown) == mayHaveRun);
    End(aAction.id_);
  }

  void End(RequestId aId)
  {
    auto& known = known_.at(aId);
    CHECK_FALSE(known.ended_);
    known.ended_ = true;
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
  RequestId ids_ = 0;
  std::map<RequestId, Known> known_;
  std::vector<Sent> sent_;
  std::map<std::string, TargetView> targets_;
  std::map<std::string, PoolRow> rows_;
  std::int64_t nodes_ = 1;
  std::int64_t nodesInZone_ = 1;
};

} // namespace

// Guards against requests that end twice or never, that run twice, that go to
// targets which may not be used, and against limits that leak.
TEST_CASE("random inputs keep the invariants of the router")
{
  for (int seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    RandomRun(static_cast<std::uint64_t>(seed)).Run();
  }
}
