#include "state/test/fleet_driver.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using test::FleetDriver;
using test::MakeIdentity;
using test::MakeRow;

namespace {

constexpr auto kInvalid = ErrorKind::InvalidState;
constexpr auto kNone = std::optional<ErrorKind>();

// Pool rota with vm-1 to vm-4 and wave w1 over it; pool gifts is empty.
FleetDriver
MakeDriver(std::int64_t aMaxUnavailable = 1, std::int64_t aWidth = 0)
{
  FleetDriver driver;
  driver.Apply(ApplyTable{
    { MakeRow("gifts", 0), MakeRow("rota", 4, 1, aMaxUnavailable) }, 0 });
  test::AnnounceMany(driver, 4);
  driver.Apply(StartWave{ "w1", { "rota" }, aWidth });
  return driver;
}

const Wave&
WaveOf(const FleetDriver& aDriver)
{
  return aDriver.fleet_.Waves().at("w1");
}

void
Reboot(FleetDriver& aDriver, const std::string& aVm)
{
  auto identity = aDriver.Vm(aVm).identity_;
  ++identity.incarnation_;
  REQUIRE(aDriver.KindOf(AnnounceVm{ identity }) == kNone);
}

void
Confirm(FleetDriver& aDriver, const std::string& aVm)
{
  const auto& vm = aDriver.Vm(aVm);
  REQUIRE(aDriver.KindOf(ConfirmStop{ vm.permit_, vm.epoch_, {} }) == kNone);
}

} // namespace

TEST_CASE("a wave starts or is refused")
{
  struct Row
  {
    const char* name_;
    StartWave command_;
    std::optional<ErrorKind> kind_;
  };
  const auto row = GENERATE(
    Row{ "other pool", { "w2", { "gifts" }, 0 }, {} },
    Row{ "name", { "", { "gifts" }, 0 }, ErrorKind::BadRequest },
    Row{ "used name", { "w1", { "gifts" }, 0 }, ErrorKind::InvalidState },
    Row{ "width", { "w2", { "gifts" }, -1 }, ErrorKind::OutOfRange },
    Row{ "pool", { "w2", { "x" }, 0 }, ErrorKind::UnknownPool },
    Row{ "twice", { "w2", { "gifts", "gifts" }, 0 }, ErrorKind::BadRequest },
    Row{
      "same pool", { "w2", { "gifts", "rota" }, 0 }, ErrorKind::InvalidState },
    Row{ "all pools", { "w2", {}, 0 }, ErrorKind::InvalidState });
  INFO(row.name_);
  auto driver = MakeDriver();
  CHECK(driver.KindOf(row.command_) == row.kind_);
  CHECK(driver.fleet_.Waves().size() == (row.kind_ ? 1 : 2));
}

TEST_CASE("a wave over no named pool covers all")
{
  FleetDriver driver;
  CHECK(driver.KindOf(StartWave{ "w", {}, 0 }) == ErrorKind::InvalidState);
  driver.Apply(ApplyTable{ { MakeRow("b", 1), MakeRow("a", 2) }, 0 });
  test::AnnounceMany(driver, 3);
  driver.Apply(StartWave{ "w", {}, 0 });
  const auto& wave = driver.fleet_.Waves().at("w");
  CHECK(wave.pools_ == std::vector<std::string>{ "a", "b" });
  CHECK(wave.pendingVms_.size() == 3);
  CHECK(driver.Vm(wave.pendingVms_.back()).pool_ == "b");
}

TEST_CASE("a wave over empty pools is completed at once")
{
  auto driver = MakeDriver();
  driver.Apply(StartWave{ "w2", { "gifts" }, 0 });
  CHECK(driver.fleet_.Waves().at("w2").phase_ == WavePhase::Completed);
}

// Guards against a stop without a drain, and a wave that never ends.
TEST_CASE("a wave reboots each VM once and completes")
{
  auto driver = MakeDriver();
  CHECK(WaveOf(driver).pendingVms_ ==
        std::vector<std::string>{ "vm-1", "vm-2", "vm-3", "vm-4" });
  for (int i = 1; i <= 4; ++i) {
    const auto id = Concat("vm-", i);
    REQUIRE(driver.KindOf(GrantPermit{ "w1", id, Concat("p", i), {} }) ==
            kNone);
    CHECK(driver.Vm(id).phase_ == VmPhase::Draining);
    Confirm(driver, id);
    CHECK(driver.Vm(id).phase_ == VmPhase::Stopping);
    CHECK(driver.Vm(id).epoch_ == 3);
    Reboot(driver, id);
    CHECK(driver.Vm(id).phase_ == VmPhase::Active);
    CHECK(driver.Vm(id).epoch_ == 4);
    CHECK(driver.Vm(id).maintainedAtMs_ == driver.fleet_.LogicalMs());
    if (i == 1) {
      CHECK(driver.KindOf(GrantPermit{ "w1", id, "again", {} }) ==
            ErrorKind::InvalidState);
    }
  }
  CHECK(WaveOf(driver).phase_ == WavePhase::Completed);
  CHECK(WaveOf(driver).doneVms_.size() == 4);
  CHECK(WaveOf(driver).endedAtMs_ == driver.fleet_.LogicalMs());
  CHECK_THAT(driver.fleet_.DecisionsOn("wave:w1").back().text_,
             Catch::Contains("4 VMs were rebooted"));
}

TEST_CASE("a permit is refused")
{
  struct Row
  {
    const char* name_;
    GrantPermit command_;
    ErrorKind kind_;
  };
  const auto row = GENERATE(
    Row{ "wave", { "w9", "vm-2", "p2", {} }, ErrorKind::UnknownWave },
    Row{ "VM", { "w1", "vm-9", "p2", {} }, ErrorKind::UnknownVm },
    Row{ "pool", { "w1", "vm-5", "p2", {} }, ErrorKind::InvalidState },
    Row{ "second", { "w1", "vm-1", "p2", {} }, ErrorKind::InvalidState },
    Row{ "used id", { "w1", "vm-2", "p1", {} }, ErrorKind::InvalidState },
    Row{ "no id", { "w1", "vm-2", "", {} }, ErrorKind::BadRequest },
    Row{
      "contact", { "w1", "vm-2", "p2", { "vm-2" } }, ErrorKind::InvalidState },
    Row{ "budget", { "w1", "vm-2", "p2", {} }, ErrorKind::BudgetExceeded });
  INFO(row.name_);
  auto driver = MakeDriver();
  driver.Apply(AnnounceVm{ MakeIdentity("vm-5") });
  // vm-5 belongs to no wave, as it joined after the start.
  driver.Apply(GrantPermit{ "w1", "vm-1", "p1", {} });
  const auto vms = driver.fleet_.Vms();
  CHECK(driver.KindOf(row.command_) == row.kind_);
  CHECK(driver.fleet_.Vms() == vms);
  CHECK(driver.fleet_.Permits().size() == 1);
}

TEST_CASE("a VM on its way to another pool gets no permit")
{
  auto driver = MakeDriver(2);
  driver.Apply(BeginMove{ "vm-1", "gifts", "", {} });
  CHECK(driver.KindOf(GrantPermit{ "w1", "vm-1", "p1", {} }) ==
        ErrorKind::InvalidState);
}

// Guards against permits granted in spite of an operator's width or pause.
TEST_CASE("width and pause keep permits back")
{
  auto driver = MakeDriver(3, 1);
  driver.Apply(GrantPermit{ "w1", "vm-1", "p1", {} });
  CHECK(driver.KindOf(GrantPermit{ "w1", "vm-2", "p2", {} }) ==
        ErrorKind::BudgetExceeded);
  driver.Apply(SetWavePhase{ "w1", WavePhase::Paused, "lunch" });
  const auto refused = driver.Apply(ConfirmStop{ "p1", 2, {} });
  REQUIRE(refused.error_);
  CHECK(refused.error_->kind_ == ErrorKind::InvalidState);
  CHECK_THAT(refused.error_->detail_, Catch::Contains("lunch"));
  driver.Apply(SetWavePhase{ "w1", WavePhase::Running, "" });
  CHECK(WaveOf(driver).reason_.empty());
  CHECK(driver.KindOf(ConfirmStop{ "p1", 2, {} }) == kNone);
}

TEST_CASE("a wave changes its phase or not")
{
  struct Row
  {
    WavePhase from_;
    WavePhase to_;
    std::optional<ErrorKind> kind_;
  };
  const auto row =
    GENERATE(Row{ WavePhase::Running, WavePhase::Paused, {} },
             Row{ WavePhase::Running, WavePhase::Held, {} },
             Row{ WavePhase::Running, WavePhase::Running, kInvalid },
             Row{ WavePhase::Running, WavePhase::Completed, kInvalid },
             Row{ WavePhase::Paused, WavePhase::Running, {} },
             Row{ WavePhase::Paused, WavePhase::Held, kInvalid },
             Row{ WavePhase::Paused, WavePhase::Cancelled, {} },
             Row{ WavePhase::Held, WavePhase::Paused, {} },
             Row{ WavePhase::Held, WavePhase::Running, {} },
             Row{ WavePhase::Cancelled, WavePhase::Running, kInvalid },
             Row{ WavePhase::Cancelled, WavePhase::Cancelled, kInvalid });
  auto driver = MakeDriver();
  if (row.from_ != WavePhase::Running) {
    driver.Apply(SetWavePhase{ "w1", row.from_, "why" });
  }
  REQUIRE(WaveOf(driver).phase_ == row.from_);
  CHECK(driver.KindOf(SetWavePhase{ "w1", row.to_, "x" }) == row.kind_);
  CHECK(WaveOf(driver).phase_ == (row.kind_ ? row.from_ : row.to_));
  CHECK(driver.KindOf(SetWavePhase{ "w9", row.to_, "" }) ==
        ErrorKind::UnknownWave);
}

// Guards against a stop that exceeds the budget because another VM was lost
// between grant and confirmation.
TEST_CASE("the budget is checked again before the stop")
{
  auto driver = MakeDriver();
  driver.Apply(GrantPermit{ "w1", "vm-1", "p1", {} });
  CHECK(driver.KindOf(ConfirmStop{ "p9", 2, {} }) == ErrorKind::InvalidState);
  CHECK(driver.KindOf(ConfirmStop{ "p1", 1, {} }) == ErrorKind::StaleEpoch);
  CHECK(driver.KindOf(ConfirmStop{ "p1", 2, { "vm-2" } }) ==
        ErrorKind::BudgetExceeded);
  driver.Apply(MarkVmLost{ "vm-3", 1 });
  CHECK(driver.KindOf(ConfirmStop{ "p1", 2, {} }) == ErrorKind::BudgetExceeded);
  driver.Apply(RecoverVm{ "vm-3", 1 });
  CHECK(driver.KindOf(ConfirmStop{ "p1", 2, {} }) == kNone);
  CHECK(driver.KindOf(ConfirmStop{ "p1", 3, {} }) == ErrorKind::InvalidState);
}

TEST_CASE("a permit is given back before its stop is confirmed only")
{
  auto driver = MakeDriver();
  driver.Apply(GrantPermit{ "w1", "vm-1", "p1", {} });
  CHECK(driver.KindOf(RevokePermit{ "p9", "" }) == ErrorKind::InvalidState);
  CHECK(driver.KindOf(RevokePermit{ "p1", "burst" }) == kNone);
  CHECK(driver.Vm("vm-1").phase_ == VmPhase::Active);
  CHECK(driver.Vm("vm-1").epoch_ == 3);
  CHECK(driver.Vm("vm-1").permit_.empty());
  CHECK(WaveOf(driver).pendingVms_.size() == 4);
  driver.Apply(GrantPermit{ "w1", "vm-1", "p2", {} });
  Confirm(driver, "vm-1");
  CHECK(driver.KindOf(RevokePermit{ "p2", "burst" }) ==
        ErrorKind::InvalidState);
}

// Guards against a crash that is counted as a planned reboot.
TEST_CASE("a crash before the confirmation ends the permit, not the turn")
{
  auto driver = MakeDriver();
  driver.Apply(GrantPermit{ "w1", "vm-1", "p1", {} });
  const bool isLost = GENERATE(false, true);
  if (isLost) {
    driver.Apply(MarkVmLost{ "vm-1", 1 });
  }
  Reboot(driver, "vm-1");
  CHECK(driver.fleet_.Permits().empty());
  CHECK(driver.Vm("vm-1").phase_ == VmPhase::Active);
  CHECK(driver.Vm("vm-1").permit_.empty());
  CHECK(driver.Vm("vm-1").maintainedAtMs_ == 0);
  CHECK(WaveOf(driver).pendingVms_.size() == 4);
  CHECK(WaveOf(driver).doneVms_.empty());
}

TEST_CASE("a stopping VM that is lost keeps its permit until it is back")
{
  auto driver = MakeDriver();
  driver.Apply(GrantPermit{ "w1", "vm-1", "p1", {} });
  Confirm(driver, "vm-1");
  driver.Apply(MarkVmLost{ "vm-1", 1 });
  CHECK(driver.KindOf(GrantPermit{ "w1", "vm-2", "p2", {} }) ==
        ErrorKind::BudgetExceeded);
  Reboot(driver, "vm-1");
  CHECK(driver.Vm("vm-1").maintainedAtMs_ != 0);
  CHECK(WaveOf(driver).doneVms_ == std::vector<std::string>{ "vm-1" });
}

// Guards against drains that never end and confirmed stops that are forgotten
// when a wave is cancelled.
TEST_CASE("cancelling returns drains and awaits confirmed stops")
{
  auto driver = MakeDriver(3);
  for (int i = 1; i <= 3; ++i) {
    driver.Apply(GrantPermit{ "w1", Concat("vm-", i), Concat("p", i), {} });
  }
  Confirm(driver, "vm-2");
  driver.Apply(MarkVmLost{ "vm-3", 1 });
  CHECK(driver.KindOf(SetWavePhase{ "w1", WavePhase::Cancelled, "" }) == kNone);
  CHECK(driver.Vm("vm-1").phase_ == VmPhase::Active);
  CHECK(driver.Vm("vm-1").epoch_ == 3);
  CHECK(driver.Vm("vm-2").phase_ == VmPhase::Stopping);
  CHECK(driver.Vm("vm-3").phase_ == VmPhase::Lost);
  CHECK(driver.Vm("vm-3").permit_.empty());
  CHECK(driver.fleet_.Permits().size() == 1);
  CHECK(driver.KindOf(GrantPermit{ "w1", "vm-4", "p4", {} }) ==
        ErrorKind::InvalidState);
  CHECK(driver.KindOf(StartWave{ "w2", { "rota" }, 0 }) == kNone);
  Reboot(driver, "vm-2");
  CHECK(driver.fleet_.Permits().empty());
  CHECK(WaveOf(driver).phase_ == WavePhase::Cancelled);
}

// Guards against a wave that waits for a removed VM.
TEST_CASE("removed VMs leave the wave, which then completes")
{
  auto driver = MakeDriver(4);
  driver.Apply(GrantPermit{ "w1", "vm-1", "p1", {} });
  for (int i = 1; i <= 4; ++i) {
    driver.Apply(MarkVmLost{ Concat("vm-", i), 1 });
    driver.Apply(RemoveVm{ Concat("vm-", i) });
  }
  CHECK(driver.fleet_.Permits().empty());
  CHECK(WaveOf(driver).phase_ == WavePhase::Completed);
}

TEST_CASE("moved VMs leave one wave and join the other")
{
  auto driver = MakeDriver();
  driver.Apply(SetCell{ "gifts", "max_unavailable", "3", 1 });
  REQUIRE(driver.KindOf(BeginMove{ "vm-1", "gifts", "", {} }) == kNone);
  REQUIRE(driver.KindOf(CompleteMove{ "vm-1", 2 }) == kNone);
  CHECK(WaveOf(driver).pendingVms_ ==
        std::vector<std::string>{ "vm-2", "vm-3", "vm-4" });
  REQUIRE(driver.KindOf(BeginMove{ "vm-1", "rota", "", {} }) == kNone);
  REQUIRE(driver.KindOf(CompleteMove{ "vm-1", 4 }) == kNone);
  CHECK(WaveOf(driver).pendingVms_.back() == "vm-1");
  // A VM that this wave has rebooted is not rebooted again.
  REQUIRE(driver.KindOf(GrantPermit{ "w1", "vm-2", "p2", {} }) == kNone);
  Confirm(driver, "vm-2");
  Reboot(driver, "vm-2");
  driver.Apply(BeginMove{ "vm-2", "gifts", "", {} });
  driver.Apply(CompleteMove{ "vm-2", driver.Vm("vm-2").epoch_ });
  driver.Apply(BeginMove{ "vm-2", "rota", "", {} });
  driver.Apply(CompleteMove{ "vm-2", driver.Vm("vm-2").epoch_ });
  REQUIRE(driver.Vm("vm-2").pool_ == "rota");
  CHECK(WaveOf(driver).pendingVms_ ==
        std::vector<std::string>{ "vm-3", "vm-4", "vm-1" });
}

// Guards against decisions that are evicted by repeats of one refusal.
TEST_CASE("decisions tell the numbers, and a repeated refusal is kept once")
{
  auto driver = MakeDriver();
  driver.Apply(GrantPermit{ "w1", "vm-1", "p1", {} });
  CHECK_THAT(
    driver.fleet_.DecisionsOn("pool:rota").back().text_,
    Catch::Contains(
      "pool rota: draining vm-1 for wave w1; 3 of 4 available, 1 must stay"));
  const auto before = driver.fleet_.DecisionsOn("pool:rota").size();
  for (int i = 0; i < 5; ++i) {
    driver.Apply(GrantPermit{ "w1", "vm-2", "p2", {} });
  }
  const auto decisions = driver.fleet_.DecisionsOn("pool:rota");
  CHECK(decisions.size() == before + 1);
  CHECK_THAT(decisions.back().text_,
             Catch::Contains("2 of 4 VMs would be unavailable") &&
               Catch::Contains("vm-1"));
  CHECK(driver.fleet_.DecisionsOn("wave:w1").back().text_ ==
        decisions.back().text_);
  for (int i = 0; i < 30; ++i) {
    driver.Apply(GrantPermit{ "w1", i % 2 == 0 ? "vm-3" : "vm-4", "p3", {} });
  }
  CHECK(driver.fleet_.DecisionsOn("pool:rota").size() == kDecisionsPerSubject);
  CHECK(driver.fleet_.DecisionsOn("pool:none").empty());
}

TEST_CASE("only the last waves are kept after their end")
{
  auto driver = MakeDriver();
  for (std::size_t i = 0; i < kEndedWaveLimit + 5; ++i) {
    driver.Apply(StartWave{ Concat("e", i), { "gifts" }, 0 });
  }
  CHECK(driver.fleet_.Waves().size() == kEndedWaveLimit + 1);
  CHECK(driver.fleet_.Waves().count("e0") == 0);
  CHECK(driver.fleet_.Waves().count("w1") == 1);
}
