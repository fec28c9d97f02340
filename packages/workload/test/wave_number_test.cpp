#include "workload/test/single_worker.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

UpkeepWave
WaveOver(std::vector<std::string> aVms)
{
  UpkeepWave wave;
  wave.id_ = 4;
  wave.cap_ = 1;
  wave.dueAtMs_ = 20000;
  wave.pendingVms_ = std::move(aVms);
  return wave;
}

RequestOutcome
OutcomeOf(Scheduler& aScheduler, const UpkeepWave& aWave)
{
  aScheduler.StartWave(9, aWave, kStart);
  const auto actions = TakeCommitted(aScheduler);
  const auto* answer = Find<AnswerRequest>(actions);
  REQUIRE(answer != nullptr);
  return answer->outcome_;
}

} // namespace

// Guards against a wave that is acknowledged under a number in use and whose
// VMs have no upkeep, though the number is said to be completed (MIXED, issue
// 60).
TEST_CASE("a number of a wave stands for the VMs that it was accepted with")
{
  struct Row
  {
    const char* name_;
    std::vector<std::string> vms_;
    RequestOutcome outcome_;
  };
  const auto row = GENERATE(values<Row>(
    { { "sent again", { "vm-a", "vm-b" }, RequestOutcome::Accepted },
      { "in another order", { "vm-b", "vm-a" }, RequestOutcome::Accepted },
      { "other VMs", { "vm-c" }, RequestOutcome::NumberInUse },
      { "one VM more",
        { "vm-a", "vm-b", "vm-c" },
        RequestOutcome::NumberInUse },
      { "one VM less", { "vm-a" }, RequestOutcome::NumberInUse } }));
  const int begun = GENERATE(0, 1, 2);
  INFO(row.name_ << ", begun " << begun);
  Scheduler scheduler({}, {}, 1, kStart);
  scheduler.UseConfig(OnePool(), kStart);
  REQUIRE(OutcomeOf(scheduler, WaveOver({ "vm-a", "vm-b" })) ==
          RequestOutcome::Accepted);
  scheduler.HandleVms(
    ListVms{ kStart },
    std::vector<VmListing>{ { "vm-a", "p", VmState::Up, "", "z" },
                            { "vm-b", "p", VmState::Up, "", "z" } },
    kStart);
  const std::vector<std::string> vms{ "vm-a", "vm-b" };
  for (int i = 0; i < begun; ++i) {
    scheduler.HandleUpkeep(
      BeginUpkeep{ vms[i], 4, 1, 0 }, VmOutcome::Begun, kStart);
  }
  TakeCommitted(scheduler);
  CHECK(OutcomeOf(scheduler, WaveOver(row.vms_)) == row.outcome_);
  CHECK(scheduler.State().Waves().at(4).completed_ == (begun == 2));
}
