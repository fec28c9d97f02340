#include "state/test/fleet_driver.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using test::FleetDriver;
using test::MakeIdentity;
using test::MakeRow;

namespace {

constexpr auto kNone = std::optional<ErrorKind>();
constexpr std::uint64_t kLeaseMs = 10000;

JobRecord
MakeJob(const std::string& aId, std::int64_t aTasks = 2)
{
  return { aId, "rota", "team", aTasks, 1000, 1024, 1, false, false };
}

// Pool rota with vm-1 to vm-4 (16 cores, 32768 MB, 8 slots), empty pool gifts.
FleetDriver
MakeDriver()
{
  FleetDriver driver;
  driver.Apply(ApplyTable{ { MakeRow("gifts", 0), MakeRow("rota", 4) }, 0 });
  test::AnnounceMany(driver, 4);
  return driver;
}

const TaskRecord&
TaskOf(const FleetDriver& aDriver, const std::string& aId)
{
  return aDriver.fleet_.Tasks().at(aId);
}

} // namespace

TEST_CASE("a job is accepted or refused")
{
  struct Row
  {
    const char* name_;
    JobRecord job_;
    std::optional<ErrorKind> kind_;
  };
  const auto with = [](auto aChange) {
    auto job = MakeJob("j2");
    aChange(job);
    return job;
  };
  const auto row = GENERATE_COPY(
    Row{ "sound", MakeJob("j2"), {} },
    Row{ "whole VM", with([](auto& aJob) { aJob.milliCores_ = 16000; }), {} },
    Row{ "empty pool", with([](auto& aJob) { aJob.pool_ = "gifts"; }), {} },
    Row{ "used id", MakeJob("j1"), ErrorKind::InvalidState },
    Row{ "id", MakeJob("a/b"), ErrorKind::BadRequest },
    Row{ "team",
         with([](auto& aJob) { aJob.team_.clear(); }),
         ErrorKind::BadRequest },
    Row{ "cancelled",
         with([](auto& aJob) { aJob.cancelled_ = true; }),
         ErrorKind::BadRequest },
    Row{ "no tasks",
         with([](auto& aJob) { aJob.tasks_ = 0; }),
         ErrorKind::OutOfRange },
    Row{ "too many",
         with([](auto& aJob) { aJob.tasks_ = 10001; }),
         ErrorKind::OutOfRange },
    Row{ "memory",
         with([](auto& aJob) { aJob.memoryMb_ = -1; }),
         ErrorKind::OutOfRange },
    Row{ "pool",
         with([](auto& aJob) { aJob.pool_ = "x"; }),
         ErrorKind::UnknownPool },
    Row{ "cores",
         with([](auto& aJob) { aJob.milliCores_ = 16001; }),
         ErrorKind::NeverFits },
    Row{ "memory",
         with([](auto& aJob) { aJob.memoryMb_ = 32769; }),
         ErrorKind::NeverFits },
    Row{ "slots",
         with([](auto& aJob) { aJob.slots_ = 9; }),
         ErrorKind::NeverFits });
  INFO(row.name_);
  auto driver = MakeDriver();
  driver.Apply(PutJob{ MakeJob("j1") });
  const auto result = driver.Apply(PutJob{ row.job_ });
  REQUIRE(result.error_.has_value() == row.kind_.has_value());
  CHECK(driver.fleet_.Tasks().size() == (row.kind_ ? 2 : 4));
  if (row.kind_) {
    CHECK(result.error_->kind_ == *row.kind_);
  } else {
    CHECK(TaskOf(driver, "j2/0").phase_ == TaskPhase::Waiting);
    CHECK(TaskOf(driver, "j2/1").job_ == "j2");
  }
  if (row.kind_ == ErrorKind::NeverFits) {
    CHECK_THAT(result.error_->detail_, Catch::Contains("16000 milli-cores"));
  }
}

TEST_CASE("a task is placed or refused")
{
  struct Row
  {
    const char* name_;
    PlaceTask command_;
    std::optional<ErrorKind> kind_;
  };
  const auto row = GENERATE(
    Row{ "sound", { "j/1", "vm-1", kLeaseMs }, {} },
    Row{ "task", { "j/2", "vm-1", kLeaseMs }, ErrorKind::UnknownJob },
    Row{ "placed", { "j/0", "vm-1", kLeaseMs }, ErrorKind::InvalidState },
    Row{ "VM", { "j/1", "vm-9", kLeaseMs }, ErrorKind::UnknownVm },
    Row{ "lost VM", { "j/1", "vm-3", kLeaseMs }, ErrorKind::InvalidState },
    Row{ "other pool", { "j/1", "vm-4", kLeaseMs }, ErrorKind::InvalidState },
    Row{ "no lease", { "j/1", "vm-1", 0 }, ErrorKind::OutOfRange },
    Row{ "long lease", { "j/1", "vm-1", 1ULL << 60U }, ErrorKind::OutOfRange },
    Row{ "small VM", { "j/1", "vm-5", kLeaseMs }, ErrorKind::NeverFits });
  INFO(row.name_);
  auto driver = MakeDriver();
  driver.Apply(PutJob{ MakeJob("j") });
  REQUIRE(driver.KindOf(PlaceTask{ "j/0", "vm-2", kLeaseMs }) == kNone);
  REQUIRE(driver.KindOf(BeginMove{ "vm-4", "gifts", "", {} }) == kNone);
  REQUIRE(driver.KindOf(CompleteMove{ "vm-4", 2 }) == kNone);
  auto small = MakeIdentity("vm-5");
  small.cores_ = 0;
  driver.Apply(AnnounceVm{ small });
  driver.Apply(MarkVmLost{ "vm-3", 1 });
  CHECK(driver.KindOf(row.command_) == row.kind_);
  const auto& task = TaskOf(driver, "j/1");
  CHECK(task.lease_ == (row.kind_ ? 0 : 1));
  CHECK(task.vm_ == (row.kind_ ? "" : "vm-1"));
  if (!row.kind_) {
    CHECK(task.leaseUntilMs_ == driver.fleet_.LogicalMs() + kLeaseMs);
  }
}

// Guards against a team that takes the resources of other teams.
TEST_CASE("quotas are checked when a task is placed")
{
  auto driver = MakeDriver();
  const auto quota = GENERATE(TeamQuota{ "team", 1500, 0 },
                              TeamQuota{ "team", 0, 2000 },
                              TeamQuota{ "team", 1000, 1024 });
  CHECK(driver.KindOf(SetQuota{ quota }) == kNone);
  driver.Apply(PutJob{ MakeJob("j") });
  CHECK(driver.KindOf(PlaceTask{ "j/0", "vm-1", kLeaseMs }) == kNone);
  CHECK(driver.fleet_.UseOf("team") == TeamUse{ 1000, 1024 });
  const auto refused = driver.Apply(PlaceTask{ "j/1", "vm-1", kLeaseMs });
  REQUIRE(refused.error_);
  CHECK(refused.error_->kind_ == ErrorKind::QuotaExceeded);
  CHECK_THAT(refused.error_->detail_, Catch::Contains("team team holds 10"));
  driver.Apply(UpdateTask{ "j/0", 1, TaskPhase::Completed, false, "", 0 });
  CHECK(driver.fleet_.UseOf("team") == TeamUse{});
  CHECK(driver.KindOf(PlaceTask{ "j/1", "vm-1", kLeaseMs }) == kNone);
  CHECK(driver.KindOf(SetQuota{ { "team", -1, 0 } }) == ErrorKind::OutOfRange);
  CHECK(driver.KindOf(SetQuota{ { "", 1, 0 } }) == ErrorKind::BadRequest);
}

TEST_CASE("a task is updated or the update is refused")
{
  struct Row
  {
    const char* name_;
    UpdateTask command_;
    std::optional<ErrorKind> kind_;
    TaskPhase phase_;
  };
  const auto row =
    GENERATE(Row{ "runs",
                  { "j/0", 2, TaskPhase::Running, false, "", 0 },
                  {},
                  TaskPhase::Running },
             Row{ "done",
                  { "j/0", 2, TaskPhase::Completed, false, "", 0 },
                  {},
                  TaskPhase::Completed },
             Row{ "evicted",
                  { "j/0", 2, TaskPhase::Waiting, false, "", 0 },
                  {},
                  TaskPhase::Waiting },
             Row{ "failed",
                  { "j/0", 2, TaskPhase::Running, true, "", 0 },
                  {},
                  TaskPhase::Waiting },
             Row{ "task",
                  { "j/7", 2, TaskPhase::Running, false, "", 0 },
                  ErrorKind::UnknownJob,
                  TaskPhase::Placed },
             Row{ "older lease",
                  { "j/0", 1, TaskPhase::Completed, false, "", 0 },
                  ErrorKind::StaleEpoch,
                  TaskPhase::Placed },
             Row{ "newer lease",
                  { "j/0", 3, TaskPhase::Completed, false, "", 0 },
                  ErrorKind::StaleEpoch,
                  TaskPhase::Placed },
             Row{ "waiting",
                  { "j/1", 0, TaskPhase::Running, false, "", 0 },
                  ErrorKind::InvalidState,
                  TaskPhase::Placed },
             Row{ "placed",
                  { "j/0", 2, TaskPhase::Placed, false, "", 0 },
                  ErrorKind::BadRequest,
                  TaskPhase::Placed });
  INFO(row.name_);
  auto driver = MakeDriver();
  driver.Apply(PutJob{ MakeJob("j") });
  driver.Apply(PlaceTask{ "j/0", "vm-1", kLeaseMs });
  driver.Apply(UpdateTask{ "j/0", 1, TaskPhase::Waiting, false, "", 0 });
  driver.Apply(PlaceTask{ "j/0", "vm-2", kLeaseMs });
  CHECK(driver.KindOf(row.command_) == row.kind_);
  const auto& task = TaskOf(driver, "j/0");
  CHECK(task.phase_ == row.phase_);
  CHECK(task.lease_ == 2);
  CHECK(task.failedOn_.size() == (row.command_.failedOnVm_ ? 1 : 0));
}

TEST_CASE("a lease is extended from now on")
{
  auto driver = MakeDriver();
  driver.Apply(PutJob{ MakeJob("j") });
  driver.Apply(PlaceTask{ "j/0", "vm-1", kLeaseMs });
  driver.Apply(UpdateTask{ "j/0", 1, TaskPhase::Running, false, "", 0 }, 400);
  CHECK(TaskOf(driver, "j/0").leaseUntilMs_ ==
        driver.fleet_.LogicalMs() - 400 + kLeaseMs);
  driver.Apply(UpdateTask{ "j/0", 1, TaskPhase::Running, false, "", kLeaseMs });
  CHECK(TaskOf(driver, "j/0").leaseUntilMs_ ==
        driver.fleet_.LogicalMs() + kLeaseMs);
}

// Guards against a faulty task that is tried on every VM, and against a task
// that fails for good because of one faulty VM.
TEST_CASE("a task that failed on three VMs has failed")
{
  auto driver = MakeDriver();
  driver.Apply(PutJob{ MakeJob("j", 1) });
  for (std::uint64_t i = 1; i <= 3; ++i) {
    CHECK(TaskOf(driver, "j/0").phase_ == TaskPhase::Waiting);
    const auto vm = Concat("vm-", i);
    CHECK(driver.KindOf(PlaceTask{ "j/0", vm, kLeaseMs }) == kNone);
    driver.Apply(UpdateTask{ "j/0", i, TaskPhase::Running, true, "exit 1", 0 });
    CHECK(driver.KindOf(PlaceTask{ "j/0", vm, kLeaseMs }) ==
          ErrorKind::InvalidState);
  }
  CHECK(TaskOf(driver, "j/0").phase_ == TaskPhase::Failed);
  CHECK(driver.fleet_.OpenTasks("j") == 0);
  CHECK(driver.KindOf(PlaceTask{ "j/0", "vm-4", kLeaseMs }) ==
        ErrorKind::InvalidState);
}

// Guards against a task that failed on every VM of a small pool, so that it
// could neither be placed nor become Failed.
TEST_CASE("a task may return to a VM of a small pool until it has failed")
{
  const auto vms = GENERATE(1, 2);
  FleetDriver driver;
  driver.Apply(ApplyTable{ { MakeRow("gifts", 0), MakeRow("rota", vms) }, 0 });
  test::AnnounceMany(driver, vms);
  driver.Apply(PutJob{ MakeJob("j", 1) });
  for (std::uint64_t i = 1; i <= 3; ++i) {
    CHECK(TaskOf(driver, "j/0").phase_ == TaskPhase::Waiting);
    CHECK(driver.KindOf(PlaceTask{ "j/0", "vm-1", kLeaseMs }) == kNone);
    driver.Apply(UpdateTask{ "j/0", i, TaskPhase::Running, true, "exit 1", 0 });
  }
  CHECK(TaskOf(driver, "j/0").phase_ == TaskPhase::Failed);
}

TEST_CASE("cancelling ends waiting tasks and stops placed ones")
{
  auto driver = MakeDriver();
  CHECK(driver.KindOf(CancelJob{ "j" }) == ErrorKind::UnknownJob);
  driver.Apply(PutJob{ MakeJob("j", 3) });
  driver.Apply(PlaceTask{ "j/0", "vm-1", kLeaseMs });
  driver.Apply(PlaceTask{ "j/1", "vm-1", kLeaseMs });
  driver.Apply(UpdateTask{ "j/1", 1, TaskPhase::Completed, false, "", 0 });
  CHECK(driver.KindOf(CancelJob{ "j" }) == kNone);
  CHECK(driver.KindOf(CancelJob{ "j" }) == kNone);
  CHECK(TaskOf(driver, "j/0").phase_ == TaskPhase::Stopping);
  CHECK(TaskOf(driver, "j/1").phase_ == TaskPhase::Completed);
  CHECK(TaskOf(driver, "j/2").phase_ == TaskPhase::Completed);
  // A report sent before the stop order arrived does not resume the task.
  driver.Apply(UpdateTask{ "j/0", 1, TaskPhase::Running, false, "", 0 });
  CHECK(TaskOf(driver, "j/0").phase_ == TaskPhase::Stopping);
  driver.Apply(UpdateTask{ "j/0", 1, TaskPhase::Waiting, false, "", 0 });
  CHECK(TaskOf(driver, "j/0").phase_ == TaskPhase::Completed);
  CHECK(driver.fleet_.OpenTasks("j") == 0);
}

// Guards against tasks that stay assigned to a VM that no longer runs them.
TEST_CASE("tasks of a VM that restarts or leaves wait again")
{
  auto driver = MakeDriver();
  driver.Apply(PutJob{ MakeJob("j", 1) });
  driver.Apply(PlaceTask{ "j/0", "vm-1", kLeaseMs });
  SECTION("restart")
  {
    driver.Apply(AnnounceVm{ MakeIdentity("vm-1", 2) });
  }
  SECTION("removal")
  {
    driver.Apply(MarkVmLost{ "vm-1", 1 });
    CHECK(TaskOf(driver, "j/0").vm_ == "vm-1");
    driver.Apply(RemoveVm{ "vm-1" });
  }
  SECTION("move")
  {
    driver.Apply(BeginMove{ "vm-1", "gifts", "", {} });
    CHECK(TaskOf(driver, "j/0").vm_ == "vm-1");
    driver.Apply(CompleteMove{ "vm-1", 2 });
  }
  CHECK(TaskOf(driver, "j/0").phase_ == TaskPhase::Waiting);
  CHECK(TaskOf(driver, "j/0").vm_.empty());
  CHECK(TaskOf(driver, "j/0").failedOn_.empty());
  CHECK(
    driver.KindOf(UpdateTask{ "j/0", 1, TaskPhase::Completed, false, "", 0 }) ==
    ErrorKind::InvalidState);
}

TEST_CASE("only the last jobs are kept after their end")
{
  auto driver = MakeDriver();
  for (std::size_t i = 0; i < kEndedJobLimit + 2; ++i) {
    driver.Apply(PutJob{ MakeJob(Concat("j", i)) });
    driver.Apply(CancelJob{ Concat("j", i) });
  }
  CHECK(driver.fleet_.Jobs().size() == kEndedJobLimit);
  CHECK(driver.fleet_.Tasks().size() == 2 * kEndedJobLimit);
  CHECK(driver.fleet_.Jobs().count("j1") == 0);
  CHECK(driver.fleet_.DecisionsOn("job:j1").empty());
}
