#include "state/budget_func.h"
#include "state/test/fleet_driver.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using test::FleetDriver;
using test::MakeIdentity;
using test::MakeRow;
using test::MakeSpareRow;

namespace {

constexpr auto kNone = std::optional<ErrorKind>();

// Pool rota with vm-1 to vm-4, and the empty pool gifts.
FleetDriver
MakeDriver()
{
  FleetDriver driver;
  driver.Apply(ApplyTable{ { MakeRow("gifts", 0), MakeRow("rota", 4, 2) }, 0 });
  test::AnnounceMany(driver, 4);
  return driver;
}

// A driver in which vm-1 is in the given phase.
FleetDriver
MakeDriver(VmPhase aPhase)
{
  auto driver = MakeDriver();
  if (aPhase == VmPhase::Lost) {
    driver.Apply(MarkVmLost{ "vm-1", 1 });
  } else if (aPhase != VmPhase::Active) {
    driver.Apply(StartWave{ "w1", { "rota" }, 0 });
    driver.Apply(GrantPermit{ "w1", "vm-1", "p1", {} });
  }
  if (aPhase == VmPhase::Stopping) {
    driver.Apply(ConfirmStop{ "p1", driver.Vm("vm-1").epoch_, {} });
  }
  REQUIRE(driver.Vm("vm-1").phase_ == aPhase);
  return driver;
}

VmIdentity
WithAddress(VmIdentity aIdentity, const std::string& aAddress)
{
  aIdentity.address_ = aAddress;
  return aIdentity;
}

} // namespace

TEST_CASE("a new VM goes to the spare pool, else to the largest lack")
{
  struct Row
  {
    const char* name_;
    std::vector<PoolRow> rows_;
    const char* pool_;
  };
  const auto row =
    GENERATE(Row{ "spare", { MakeRow("a", 9), MakeSpareRow("s", 0) }, "s" },
             Row{ "largest lack", { MakeRow("a", 1), MakeRow("b", 2) }, "b" },
             Row{ "tie by name", { MakeRow("a", 2), MakeRow("b", 2) }, "a" },
             Row{ "no lack", { MakeRow("a", 0), MakeRow("b", 0) }, "a" });
  INFO(row.name_);
  FleetDriver driver;
  driver.Apply(ApplyTable{ row.rows_, 0 });
  CHECK(driver.KindOf(AnnounceVm{ MakeIdentity("vm-1") }) == kNone);
  CHECK(driver.Vm("vm-1").pool_ == row.pool_);
  CHECK(driver.Vm("vm-1").number_ == 1);
  CHECK(driver.fleet_.DecisionsOn("vm:vm-1").size() == 1);
}

TEST_CASE("new VMs fill the pools by their lack")
{
  FleetDriver driver;
  driver.Apply(ApplyTable{ { MakeRow("a", 2), MakeRow("b", 3) }, 0 });
  test::AnnounceMany(driver, 5);
  const auto inA =
    std::count_if(driver.fleet_.Vms().begin(),
                  driver.fleet_.Vms().end(),
                  [](const auto& aVm) { return aVm.second.pool_ == "a"; });
  CHECK(inA == 2);
}

TEST_CASE("malformed announcements are refused")
{
  struct Row
  {
    const char* name_;
    VmIdentity identity_;
    ErrorKind kind_;
  };
  auto noZone = MakeIdentity("vm-9");
  noZone.zone_.clear();
  auto negative = MakeIdentity("vm-9");
  negative.cores_ = -1;
  const auto row = GENERATE_COPY(
    Row{ "id", MakeIdentity("a b"), ErrorKind::BadRequest },
    Row{ "no id", MakeIdentity(""), ErrorKind::BadRequest },
    Row{ "zone", noZone, ErrorKind::BadRequest },
    Row{
      "address", WithAddress(MakeIdentity("vm-9"), ""), ErrorKind::BadRequest },
    Row{ "cores", negative, ErrorKind::OutOfRange });
  INFO(row.name_);
  auto driver = MakeDriver();
  CHECK(driver.KindOf(AnnounceVm{ row.identity_ }) == row.kind_);
  CHECK(driver.fleet_.Vms().size() == 4);
}

TEST_CASE("without a pool no VM can join")
{
  FleetDriver driver;
  CHECK(driver.KindOf(AnnounceVm{ MakeIdentity("vm-1") }) ==
        ErrorKind::InvalidState);
}

// Guards against two machines with the same id that replace each other, and
// against refusing a VM after an ordinary restart or a replacement.
TEST_CASE("a known VM is told apart from another one with its id")
{
  struct Row
  {
    const char* name_;
    VmPhase phase_;
    std::uint64_t incarnation_;
    bool elsewhere_;
    std::optional<ErrorKind> kind_;
  };
  const auto row = GENERATE(
    Row{ "again", VmPhase::Active, 1, false, {} },
    Row{ "older", VmPhase::Active, 0, false, ErrorKind::StaleIncarnation },
    Row{
      "older elsewhere", VmPhase::Lost, 0, true, ErrorKind::StaleIncarnation },
    Row{ "twin", VmPhase::Active, 1, true, ErrorKind::IdentityConflict },
    Row{ "lost twin", VmPhase::Lost, 1, true, ErrorKind::IdentityConflict },
    Row{ "restart", VmPhase::Active, 2, false, {} },
    Row{ "restart in a drain", VmPhase::Draining, 2, false, {} },
    Row{ "newer elsewhere",
         VmPhase::Active,
         2,
         true,
         ErrorKind::IdentityConflict },
    Row{ "drain elsewhere",
         VmPhase::Draining,
         2,
         true,
         ErrorKind::IdentityConflict },
    Row{ "replaced", VmPhase::Lost, 2, true, {} },
    Row{ "reboot elsewhere", VmPhase::Stopping, 2, true, {} });
  INFO(row.name_);
  auto driver = MakeDriver(row.phase_);
  const auto before = driver.Vm("vm-1");
  auto identity = MakeIdentity("vm-1", row.incarnation_);
  if (row.elsewhere_) {
    identity.address_ = "127.0.0.1:9";
  }
  CHECK(driver.KindOf(AnnounceVm{ identity }) == row.kind_);
  const auto& after = driver.Vm("vm-1");
  if (row.kind_ || row.incarnation_ == 1) {
    CHECK(after == before);
  } else {
    CHECK(after.identity_ == identity);
    CHECK(after.phase_ == VmPhase::Active);
    CHECK(after.epoch_ > before.epoch_);
    CHECK(after.number_ == before.number_);
  }
}

TEST_CASE("a move drains first and ends in one step")
{
  auto driver = MakeDriver();
  REQUIRE(driver.KindOf(BeginMove{ "vm-1", "gifts", "load", {} }) == kNone);
  const auto draining = driver.Vm("vm-1");
  CHECK(draining.pool_ == "rota");
  CHECK(draining.phase_ == VmPhase::Draining);
  CHECK(draining.epoch_ == 2);
  CHECK(driver.KindOf(CompleteMove{ "vm-1", 1 }) == ErrorKind::StaleEpoch);
  CHECK(driver.KindOf(CompleteMove{ "vm-1", 2 }) == kNone);
  const auto& moved = driver.Vm("vm-1");
  CHECK(moved.pool_ == "gifts");
  CHECK(moved.phase_ == VmPhase::Active);
  CHECK(moved.moveTo_.empty());
  CHECK(moved.epoch_ == 3);
  CHECK(driver.fleet_.MoveCount() == 1);
  CHECK(driver.KindOf(CompleteMove{ "vm-1", 3 }) == ErrorKind::InvalidState);
  CHECK_THAT(driver.fleet_.DecisionsOn("vm:vm-1").at(1).text_,
             Catch::Contains("3 of 4 available, 2 must stay"));
}

TEST_CASE("a move is refused")
{
  struct Row
  {
    const char* name_;
    BeginMove command_;
    VmPhase phase_;
    ErrorKind kind_;
  };
  const auto row = GENERATE(Row{ "no VM",
                                 { "vm-9", "gifts", "", {} },
                                 VmPhase::Active,
                                 ErrorKind::UnknownVm },
                            Row{ "no pool",
                                 { "vm-1", "x", "", {} },
                                 VmPhase::Active,
                                 ErrorKind::UnknownPool },
                            Row{ "same pool",
                                 { "vm-1", "rota", "", {} },
                                 VmPhase::Active,
                                 ErrorKind::InvalidState },
                            Row{ "permit",
                                 { "vm-1", "gifts", "", {} },
                                 VmPhase::Draining,
                                 ErrorKind::InvalidState },
                            Row{ "lost",
                                 { "vm-1", "gifts", "", {} },
                                 VmPhase::Lost,
                                 ErrorKind::InvalidState },
                            Row{ "out of contact",
                                 { "vm-1", "gifts", "", { "vm-1" } },
                                 VmPhase::Active,
                                 ErrorKind::InvalidState },
                            Row{ "other lost",
                                 { "vm-2", "gifts", "", {} },
                                 VmPhase::Lost,
                                 ErrorKind::BudgetExceeded },
                            Row{ "other unknown",
                                 { "vm-2", "gifts", "", { "vm-3" } },
                                 VmPhase::Active,
                                 ErrorKind::BudgetExceeded });
  INFO(row.name_);
  auto driver = MakeDriver(row.phase_);
  const auto before = driver.fleet_.Vms();
  CHECK(driver.KindOf(row.command_) == row.kind_);
  CHECK(driver.fleet_.Vms() == before);
}

// Guards against a phase that contradicts the open move after a crash, a loss
// or a recovery.
TEST_CASE("a move outlives a crash, a loss and a recovery")
{
  auto driver = MakeDriver();
  driver.Apply(BeginMove{ "vm-1", "gifts", "", {} });
  SECTION("a crash raises the epoch and the move stays")
  {
    driver.Apply(AnnounceVm{ MakeIdentity("vm-1", 2) });
  }
  SECTION("a loss and a recovery")
  {
    driver.Apply(MarkVmLost{ "vm-1", 1 });
    CHECK(driver.KindOf(CompleteMove{ "vm-1", driver.Vm("vm-1").epoch_ }) ==
          ErrorKind::InvalidState);
    driver.Apply(RecoverVm{ "vm-1", 1 });
  }
  SECTION("a loss and a restart")
  {
    driver.Apply(MarkVmLost{ "vm-1", 1 });
    driver.Apply(AnnounceVm{ MakeIdentity("vm-1", 2) });
  }
  const auto vm = driver.Vm("vm-1");
  CHECK(vm.phase_ == VmPhase::Draining);
  CHECK(vm.moveTo_ == "gifts");
  CHECK(vm.epoch_ > 2);
  CHECK(driver.KindOf(BeginMove{ "vm-1", "gifts", "", {} }) ==
        ErrorKind::InvalidState);
  CHECK(driver.KindOf(CompleteMove{ "vm-1", 2 }) == ErrorKind::StaleEpoch);
  CHECK(driver.KindOf(CompleteMove{ "vm-1", vm.epoch_ }) == kNone);
}

TEST_CASE("a move is given up")
{
  auto driver = MakeDriver();
  CHECK(driver.KindOf(AbortMove{ "vm-9", 1, "" }) == ErrorKind::UnknownVm);
  CHECK(driver.KindOf(AbortMove{ "vm-1", 1, "" }) == ErrorKind::InvalidState);
  driver.Apply(BeginMove{ "vm-1", "gifts", "", {} });
  CHECK(driver.KindOf(AbortMove{ "vm-1", 1, "" }) == ErrorKind::StaleEpoch);
  const bool isLost = GENERATE(false, true);
  if (isLost) {
    driver.Apply(MarkVmLost{ "vm-1", 1 });
  }
  const auto epoch = driver.Vm("vm-1").epoch_;
  CHECK(driver.KindOf(AbortMove{ "vm-1", epoch, "burst over" }) == kNone);
  const auto& vm = driver.Vm("vm-1");
  CHECK(vm.pool_ == "rota");
  CHECK(vm.moveTo_.empty());
  CHECK(vm.epoch_ == epoch + 1);
  CHECK(vm.phase_ == (isLost ? VmPhase::Lost : VmPhase::Active));
}

// Guards against removing a pool while a VM is moving to it.
TEST_CASE("the pool a VM is on its way to stays in the table")
{
  auto driver = MakeDriver();
  driver.Apply(BeginMove{ "vm-1", "gifts", "", {} });
  CHECK(driver.KindOf(ApplyTable{ { MakeRow("rota", 4, 2) }, 1 }) ==
        ErrorKind::InvalidState);
}

TEST_CASE("VMs are lost, recovered and removed")
{
  auto driver = MakeDriver();
  CHECK(driver.KindOf(MarkVmLost{ "vm-9", 1 }) == ErrorKind::UnknownVm);
  CHECK(driver.KindOf(MarkVmLost{ "vm-1", 2 }) == ErrorKind::StaleIncarnation);
  CHECK(driver.KindOf(RecoverVm{ "vm-1", 1 }) == ErrorKind::InvalidState);
  CHECK(driver.KindOf(RemoveVm{ "vm-1" }) == ErrorKind::InvalidState);
  CHECK(driver.KindOf(MarkVmLost{ "vm-1", 1 }) == kNone);
  CHECK(driver.KindOf(MarkVmLost{ "vm-1", 1 }) == ErrorKind::InvalidState);
  CHECK(driver.KindOf(RecoverVm{ "vm-9", 1 }) == ErrorKind::UnknownVm);
  CHECK(driver.KindOf(RecoverVm{ "vm-1", 2 }) == ErrorKind::StaleIncarnation);
  CHECK(driver.KindOf(RecoverVm{ "vm-1", 1 }) == kNone);
  CHECK(driver.Vm("vm-1").phase_ == VmPhase::Active);
  CHECK(driver.Vm("vm-1").epoch_ == 3);
  driver.Apply(MarkVmLost{ "vm-1", 1 });
  CHECK(driver.KindOf(RemoveVm{ "vm-9" }) == ErrorKind::UnknownVm);
  CHECK(driver.KindOf(RemoveVm{ "vm-1" }) == kNone);
  CHECK(driver.fleet_.Vms().count("vm-1") == 0);
  // A VM that comes back after its removal is registered as a new VM.
  driver.Apply(AnnounceVm{ MakeIdentity("vm-1", 1) });
  CHECK(driver.Vm("vm-1").number_ == 5);
}

// Guards against a VM that gets new work while a reboot of it is pending.
TEST_CASE("a recovered VM goes on with its permit")
{
  const auto phase = GENERATE(VmPhase::Draining, VmPhase::Stopping);
  auto driver = MakeDriver(phase);
  driver.Apply(MarkVmLost{ "vm-1", 1 });
  CHECK(driver.fleet_.Permits().count("p1") == 1);
  driver.Apply(RecoverVm{ "vm-1", 1 });
  CHECK(driver.Vm("vm-1").phase_ == phase);
}

namespace {

std::map<std::string, VmRecord>
MakeVms(const std::vector<std::string>& aRacks)
{
  std::map<std::string, VmRecord> vms;
  for (std::size_t i = 0; i < aRacks.size(); ++i) {
    VmRecord vm;
    vm.identity_ = MakeIdentity(Concat("vm-", i + 1), 1, aRacks[i]);
    vm.pool_ = "rota";
    vms.emplace(vm.identity_.id_, vm);
  }
  return vms;
}

} // namespace

// Guards against a pool that falls below min_available when one more rack is
// lost, and against a VM that counts twice.
TEST_CASE("the availability budget counts VMs and racks")
{
  struct Row
  {
    const char* name_;
    std::vector<std::string> racks_;
    std::int64_t minAvailable_;
    std::int64_t maxUnavailable_;
    std::vector<std::string> unavailable_;
    VmPhase first_;
    VmPhase second_;
    bool allowed_;
  };
  const std::vector<std::string> own{ "a", "b", "c", "d" };
  const std::vector<std::string> pairs{ "a", "a", "b", "b" };
  constexpr auto kActive = VmPhase::Active;
  const auto row = GENERATE_COPY(
    Row{ "room", own, 2, 1, {}, kActive, kActive, true },
    Row{ "rack is one too many", own, 3, 1, {}, kActive, kActive, false },
    Row{ "worst rack is the other", pairs, 1, 1, {}, kActive, kActive, true },
    Row{ "worst rack leaves one", pairs, 2, 1, {}, kActive, kActive, false },
    Row{ "none may stop", own, 0, 0, {}, kActive, kActive, false },
    Row{ "one lost", own, 0, 1, {}, kActive, VmPhase::Lost, false },
    Row{ "one draining", own, 0, 1, {}, kActive, VmPhase::Draining, false },
    Row{ "one stopping", own, 0, 1, {}, kActive, VmPhase::Stopping, false },
    Row{ "two allowed", own, 1, 2, {}, kActive, VmPhase::Lost, true },
    Row{ "listed", own, 0, 1, { "vm-3" }, kActive, kActive, false },
    Row{ "listed and lost is one",
         own,
         1,
         2,
         { "vm-2" },
         kActive,
         VmPhase::Lost,
         true },
    Row{ "listed twice is one",
         own,
         1,
         2,
         { "vm-2", "vm-2" },
         kActive,
         kActive,
         true },
    Row{
      "listed itself is one", own, 2, 1, { "vm-1" }, kActive, kActive, true },
    Row{ "draining itself is one",
         own,
         2,
         1,
         {},
         VmPhase::Draining,
         kActive,
         true },
    Row{
      "listed of another pool", own, 2, 1, { "vm-9" }, kActive, kActive, true },
    Row{ "last VM, no minimum", { "a" }, 0, 1, {}, kActive, kActive, true });
  INFO(row.name_);
  auto vms = MakeVms(row.racks_);
  vms.at("vm-1").phase_ = row.first_;
  if (vms.size() > 1) {
    vms.at("vm-2").phase_ = row.second_;
  }
  VmRecord other;
  other.identity_ = MakeIdentity("vm-9");
  other.pool_ = "gifts";
  other.phase_ = VmPhase::Lost;
  vms.emplace("vm-9", other);
  const auto verdict =
    CheckBudget(MakeRow("rota", 4, row.minAvailable_, row.maxUnavailable_),
                vms,
                "vm-1",
                row.unavailable_);
  INFO(verdict.text_);
  CHECK(verdict.allowed_ == row.allowed_);
  CHECK(verdict.total_ == static_cast<std::int64_t>(row.racks_.size()));
  CHECK(verdict.available_ + verdict.unavailable_ == verdict.total_);
}

// Guards against racks of the same name in two zones counted as one.
TEST_CASE("racks belong to their zone")
{
  auto vms = MakeVms({ "a", "a", "a" });
  vms.at("vm-2").identity_.zone_ = "z2";
  const auto verdict = CheckBudget(MakeRow("rota", 3, 1), vms, "vm-1", {});
  CHECK(verdict.allowed_);
  CHECK(verdict.worstRackVms_ == 1);
}
