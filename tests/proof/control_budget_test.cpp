#include "proof/data_support.h"
#include "support/vm_watcher.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <random>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr std::size_t kTargets = 12;
/// The node that shows the VMs. It is no voter, so that it never leads.
constexpr const char* kWatchNode = "n4";
/// Chooses the lost VMs among those that wait for their stop at that moment.
constexpr std::uint64_t kSeed = 911;
/// 6 VMs for each pool, of which each of the three racks has two.
constexpr const char* kRows = "rota,100,6,3,1\nreceipts,100,6,2,1\n";
/// In the first wave receipts goes down to 5 VMs, and a VM out next to a lost
/// one breaks max_unavailable.
const std::vector<PoolBudget> kFirstBudgets{ { "rota", 6, 3, 1 },
                                             { "receipts", 5, 2, 1 } };
/// In the second wave the reserve decides: two VMs of rota out and a rack of
/// two lost would leave 2 of 6, where min_available is 3.
const std::vector<PoolBudget> kSecondBudgets{ { "rota", 6, 3, 2 },
                                              { "receipts", 5, 2, 1 } };

/// VMs stay away for this time after their loss is known.
constexpr Millis kKnownOutage{ 3000 };
/// A new leader grants nothing in this time.
constexpr Millis kNoGrants{ 3000 };
constexpr Millis kReboot{ 500 };
/// A leader begins no move in its first 10 s, and a lack must last 5 s; the
/// rest is an announcement.
constexpr Millis kMoveBegin{ 12000 };
/// An election takes 2 to 4 s; the rest is left to a busy machine.
constexpr Millis kReturnLimit{ 15000 };
/// 6 VMs of a pool one after another, each with the routing lease of 5 s and
/// its margin of 1 s, a reboot of 0.5 s and an announcement of 2 s, and 10 s
/// until a held wave resumes.
constexpr Millis kWaveLimit{ 61000 };

/// A time in which the process of a VM was gone.
struct Outage
{
  std::string vm_;
  std::string pool_;
  std::uint64_t killedNs_ = 0;
  /// Of the process that was started afterwards.
  std::uint64_t incarnation_ = 0;
};

class BudgetProof
{
public:
  explicit BudgetProof(Cluster& aCluster)
    : cluster_(aCluster)
  {
    for (std::size_t i = 1; i <= kTargets; ++i) {
      StartTarget(TargetName(static_cast<int>(i)), 1);
      // A new VM joins the pool that lacks most, so that the pools alternate
      // when the VMs come one after another.
      cluster_.Require(
        "a new VM", kReturnLimit, [&] { return Vms().size() == i; });
    }
    for (const auto& node : cluster_.NodeIds()) {
      cluster_.WaitUsable(node, kTargets, kReturnLimit);
    }
  }

  /// Changes the sizes, starts a wave as soon as the move has begun, and waits
  /// for the end of the move and a stop of the wave.
  void BeginWave(const std::string& aWave, int aRota, int aReceipts)
  {
    RequireClient(
      cluster_,
      { "set", "receipts", "size", std::to_string(aReceipts), "--wait" });
    RequireClient(cluster_,
                  { "set", "rota", "size", std::to_string(aRota), "--wait" });
    cluster_.Require(
      "a move", kMoveBegin, [&] { return Has("phase", "draining"); });
    RequireClient(cluster_, { "wave", "start", aWave });
    wave_ = aWave;
    cluster_.Require("a stop after the move", kReturnLimit, [&] {
      return Has("phase", "stopping") && CountRota() == aRota;
    });
    firstOutage_ = outages_.size();
  }

  void EndWave(VmWatcher& aWatcher, const std::vector<PoolBudget>& aBudgets)
  {
    cluster_.Require("wave " + wave_ + " completed", kWaveLimit, [&] {
      return Wave().value("phase", "") == "completed";
    });
    aWatcher.Stop();
    INFO(wave_);
    const auto planned = PeriodsWithStops(aWatcher);
    auto periods = Losses(aWatcher, kLossDetection);
    periods.insert(periods.end(), planned.begin(), planned.end());
    CHECK(Describe(CheckBudgets(periods, aBudgets)) == kNone);

    // The reserve: one VM or rack more, lost a moment ago, leaves
    // min_available. Such a moment counts as planned to be looked at by itself.
    auto reserve = aBudgets;
    for (auto& budget : reserve) {
      budget.maxUnavailable_ = budget.vms_;
    }
    periods = Losses(aWatcher, 0ms);
    for (auto& loss : periods) {
      loss.planned_ = true;
    }
    periods.insert(periods.end(), planned.begin(), planned.end());
    CHECK(Describe(CheckBudgets(periods, reserve)) == kNone);
    std::cout << "budget: seed " << kSeed << ", " << wave_ << ": "
              << aWatcher.Drains().size() << " drains, "
              << aWatcher.Stops().size() << " stops, "
              << outages_.size() - firstOutage_ << " losses\n";
  }

  /// Kills a VM of rota that waits for its stop, or all VMs of a rack with two
  /// of them, and waits until the loss is known.
  void Lose(bool aRack)
  {
    const auto waiting = Waiting();
    std::vector<std::string> choices;
    for (const auto& vm : waiting) {
      const auto isMate = [&vm](const auto& aOther) {
        return aOther.second == vm.second;
      };
      if (!aRack || std::count_if(waiting.begin(), waiting.end(), isMate) > 1) {
        choices.push_back(vm.first);
      }
    }
    REQUIRE_FALSE(choices.empty());
    std::uniform_int_distribution<std::size_t> any(0, choices.size() - 1);
    const auto& chosen = choices[any(random_)];
    lost_ = 0;
    for (const auto& vm : Vms()) {
      const std::string id = vm.at("id");
      if (id == chosen || (aRack && vm.at("rack") == waiting.at(chosen))) {
        cluster_.TargetProcess(id).Kill();
        outages_.push_back(
          { id, vm.at("pool"), MonotonicNs(), incarnation_ += 100 });
        ++lost_;
        std::cout << "budget: lost " << id << " of " << vm.at("pool") << '\n';
      }
    }
    std::this_thread::sleep_for(kLossDetection);
    // A planner that ignores the loss would stop one of these next.
    std::cout << "budget: " << Waiting().size() << " VMs of rota wait\n";
    CHECK_FALSE(Waiting().empty());
  }

  /// Starts the lost VMs again after a while in which their loss was known.
  void Return()
  {
    std::this_thread::sleep_for(kKnownOutage);
    for (auto i = outages_.size() - lost_; i < outages_.size(); ++i) {
      const auto incarnation = outages_[i].incarnation_;
      StartTarget(outages_[i].vm_, incarnation);
      cluster_.Require("the return", kReturnLimit, [&] {
        return Has("incarnation", incarnation);
      });
    }
  }

  void KillLeader()
  {
    const auto leader = cluster_.Leader();
    REQUIRE_FALSE(leader.empty());
    cluster_.Node(leader).process_->Kill();
    cluster_.Require("a new leader", kReturnLimit, [&] {
      const auto now = cluster_.Leader();
      return !now.empty() && now != leader;
    });
    cluster_.StartNode(leader);
    std::this_thread::sleep_for(kNoGrants);
  }

  /// The runs of all targets. A process that was killed ended its runs.
  std::vector<ExecutedRun> Runs() const
  {
    auto runs = cluster_.TargetRuns();
    for (auto& run : runs) {
      for (const auto& outage : outages_) {
        if (!run.endNs_ && run.vm_ == outage.vm_ &&
            run.incarnation_ < outage.incarnation_) {
          run.endNs_ = outage.killedNs_;
        }
      }
    }
    return runs;
  }

private:
  /// The losses of the wave, from aDelay after each until the state has the
  /// VM's new incarnation.
  std::vector<UnavailablePeriod> Losses(const VmWatcher& aWatcher,
                                        Millis aDelay) const
  {
    std::vector<UnavailablePeriod> periods;
    for (auto i = firstOutage_; i < outages_.size(); ++i) {
      const auto& outage = outages_[i];
      for (const auto& seen : aWatcher.Incarnations()) {
        if (seen.vm_ == outage.vm_ &&
            seen.incarnation_ == outage.incarnation_) {
          periods.push_back(
            { outage.vm_,
              outage.pool_,
              outage.killedNs_ +
                static_cast<std::uint64_t>(aDelay.count()) * 1000000,
              seen.beforeNs_,
              false });
        }
      }
    }
    REQUIRE(periods.size() == outages_.size() - firstOutage_);
    return periods;
  }

  json Vms() const { return cluster_.AdminGet(kWatchNode, "/v1/vms"); }

  json Wave() const
  {
    return cluster_.AdminGet(kWatchNode, "/v1/waves/" + wave_);
  }

  template<typename Value>
  bool Has(const char* aField, const Value& aValue) const
  {
    const auto vms = Vms();
    return std::any_of(vms.begin(), vms.end(), [&](const json& aVm) {
      return aVm.at(aField) == aValue;
    });
  }

  int CountRota() const
  {
    const auto vms = Vms();
    return static_cast<int>(
      std::count_if(vms.begin(), vms.end(), [](const json& aVm) {
        return aVm.at("pool") == "rota";
      }));
  }

  /// Racks of the VMs of rota that work and wait for their stop, by id.
  std::map<std::string, std::string> Waiting() const
  {
    std::map<std::string, std::string> waiting;
    const auto pending = Wave().at("pending");
    for (const auto& vm : Vms()) {
      if (vm.at("pool") == "rota" && vm.at("phase") == "active" &&
          vm.at("usable") == true &&
          std::find(pending.begin(), pending.end(), vm.at("id")) !=
            pending.end()) {
        waiting[vm.at("id")] = vm.at("rack");
      }
    }
    return waiting;
  }

  void StartTarget(const std::string& aId, std::uint64_t aIncarnation)
  {
    const int number = std::stoi(aId.substr(3)) - 1;
    ClusterTarget target;
    target.id_ = aId;
    target.zone_ = "z" + std::to_string(number % 3 + 1);
    target.rack_ = "r" + std::to_string(number % 3 + 1);
    target.arguments_ = { "--incarnation", std::to_string(aIncarnation) };
    cluster_.StartTarget(target);
  }

  Cluster& cluster_;
  std::mt19937_64 random_{ kSeed };
  std::string wave_;
  /// The number of the last outages that belong together.
  std::size_t lost_ = 0;
  std::vector<Outage> outages_;
  /// Of restarted processes, in steps that planned reboots do not reach.
  std::uint64_t incarnation_ = 0;
  /// The first outage of the present wave.
  std::size_t firstOutage_ = 0;
};

} // namespace

// Guards promise 1 under failures: waves and moves that go on as if lost VMs
// were available, when a VM is lost just after another has returned, when a
// rack is lost, and when the leader that knew of the loss is lost as well.
TEST_CASE("waves and moves stay within the budgets while VMs are lost")
{
  ClusterSettings settings;
  settings.nodes_ = 4;
  settings.reboot_ = kReboot;
  Cluster cluster(settings);
  StartSystem(cluster, kRows, 0, false, 0);
  BudgetProof proof(cluster);
  LoadSettings load;
  for (const auto& node : cluster.NodeIds()) {
    load.entries_.push_back(cluster.Node(node).callers_);
  }
  load.pools_ = { "rota", "receipts" };
  load.rate_ = 20;
  load.duration_ = 2s;
  HistoryRecorder recorder;
  std::jthread loader([&](const std::stop_token& aStop) {
    for (load.seed_ = kSeed; !aStop.stop_requested(); ++load.seed_) {
      RunLoad(load, recorder);
    }
  });

  VmWatcher first(cluster, kWatchNode);
  proof.BeginWave("w1", 7, 5);
  for (int i = 0; i < 2; ++i) {
    proof.Lose(false);
    proof.Return();
  }
  proof.EndWave(first, kFirstBudgets);

  RequireClient(cluster, { "set", "rota", "max_unavailable", "2", "--wait" });
  VmWatcher second(cluster, kWatchNode);
  proof.BeginWave("w2", 6, 6);
  proof.Lose(true);
  proof.KillLeader();
  proof.Return();
  proof.EndWave(second, kSecondBudgets);

  loader.request_stop();
  loader.join();
  const auto runs = proof.Runs();
  CHECK(Describe(CheckGracefulStops(ReadStops(cluster.PlatformJournal()),
                                    runs)) == kNone);
  CHECK(Describe(CheckOnePool(first.Seen(), runs)) == kNone);
  CheckCallers(recorder.Operations(), runs);
}
