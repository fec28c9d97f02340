#include "state/table/column_table.h"
#include "state/table_func.h"
#include "state/test/fleet_driver.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using test::MakeRow;

namespace {

PoolTable
MakeTable()
{
  return {
    1, { { "gifts", MakeRow("gifts", 3) }, { "rota", MakeRow("rota", 10, 8) } }
  };
}

} // namespace

// Guards against defaults that differ between the column table and new rows.
TEST_CASE("the column table agrees with the defaults of a row")
{
  const PoolRow row;
  for (const auto& column : kColumnTable) {
    INFO(column.name_);
    CHECK_FALSE(column.help_.empty());
    if (column.number_) {
      CHECK(row.*column.number_ == column.default_);
      CHECK(column.default_ >= column.smallest_);
      CHECK(column.default_ <= column.largest_);
    }
  }
  CHECK(ColumnNames().front() == "pool");
}

TEST_CASE("cells are set within their ranges")
{
  struct Row
  {
    const char* column_;
    const char* value_;
    std::optional<ErrorKind> kind_;
  };
  const auto row =
    GENERATE(Row{ "size", "12", {} },
             Row{ "drain_action", "stop", {} },
             Row{ "spare", "yes", {} },
             Row{ "deadline_ms", "10", {} },
             Row{ "deadline_ms", "9", ErrorKind::OutOfRange },
             Row{ "size", "-1", ErrorKind::OutOfRange },
             Row{ "size", "", ErrorKind::OutOfRange },
             Row{ "size", "1x", ErrorKind::OutOfRange },
             Row{ "size", " 1", ErrorKind::OutOfRange },
             Row{ "size", "99999999999999999999", ErrorKind::OutOfRange },
             Row{ "retry_percent", "101", ErrorKind::OutOfRange },
             Row{ "drain_action", "halt", ErrorKind::OutOfRange },
             Row{ "spare", "maybe", ErrorKind::OutOfRange },
             Row{ "pool", "a/b", ErrorKind::BadRequest },
             Row{ "sizes", "1", ErrorKind::UnknownColumn });
  INFO(row.column_ << " = " << row.value_);
  const auto changed = WithCell(MakeRow("rota", 10), row.column_, row.value_);
  REQUIRE(IsOk(changed) == !row.kind_);
  if (row.kind_) {
    CHECK(ErrorOf(changed).kind_ == *row.kind_);
    CHECK_THAT(ErrorOf(changed).detail_, Catch::Contains(row.column_));
  } else {
    CHECK(CellText(ValueOf(changed), row.column_) == row.value_);
  }
}

TEST_CASE("a table survives CSV")
{
  const auto table = MakeTable();
  const auto rows = RowsFromCsv(TableToCsv(table), {});
  REQUIRE(IsOk(rows));
  CHECK(ChangedCells(table, ValueOf(rows)).empty());
}

TEST_CASE("CSV of spreadsheets and editors is read")
{
  const auto csv = GENERATE("pool,size\nrota,12\n",
                            "pool,size\r\nrota,12\r\n",
                            "size,pool\n12,rota",
                            "\n\npool,size\n\nrota,12\n\n",
                            "\"pool\",\"size\"\n\"rota\",\"12\"\n",
                            "\xEF\xBB\xBFpool,size\nrota,12\n");
  const auto rows = RowsFromCsv(csv, MakeTable());
  REQUIRE(IsOk(rows));
  REQUIRE(ValueOf(rows).size() == 1);
  CHECK(ValueOf(rows).front().size_ == 12);
  CHECK(ValueOf(rows).front().minAvailable_ == 8);
}

// Guards against a table that is read partly or wrongly, and against errors
// that do not name line and column.
TEST_CASE("malformed CSV is refused with its place")
{
  struct Row
  {
    const char* csv_;
    ErrorKind kind_;
    const char* place_;
  };
  const auto row = GENERATE(
    Row{ "", ErrorKind::BadRequest, "line 1, column 1" },
    Row{ "size\n1\n", ErrorKind::BadRequest, "line 1, column 1" },
    Row{ "pool,sise\n", ErrorKind::UnknownColumn, "line 1, column 6" },
    Row{ "pool,size,size\n", ErrorKind::BadRequest, "line 1, column 11" },
    Row{ "pool,size\nrota\n", ErrorKind::BadRequest, "line 2, column 1" },
    Row{ "pool\nrota,1\n", ErrorKind::BadRequest, "line 2, column 1" },
    Row{ "pool,size\nrota,x\n", ErrorKind::OutOfRange, "line 2, column 6" },
    Row{ "pool,size\n\nrota,-1", ErrorKind::OutOfRange, "line 3, column 6" },
    Row{ "pool,size\nrota,11\nrota,12\n",
         ErrorKind::BadRequest,
         "line 3, column 1" },
    Row{ "pool,size\nrota,5\n", ErrorKind::OutOfRange, "line 2, column 1" },
    Row{ "pool\n\"rota\n", ErrorKind::BadRequest, "line 2, column 1" },
    Row{ "pool\n\"rota\"x\n", ErrorKind::BadRequest, "line 2, column 7" },
    Row{ "pool\nro\"ta\n", ErrorKind::BadRequest, "line 2, column 3" },
    Row{ "pool\nrota\rx\n", ErrorKind::BadRequest, "line 2, column 5" },
    Row{ "pool\n\"\"\"\"\n", ErrorKind::BadRequest, "line 2, column 1" });
  INFO(row.csv_);
  const auto rows = RowsFromCsv(row.csv_, MakeTable());
  REQUIRE_FALSE(IsOk(rows));
  CHECK(ErrorOf(rows).kind_ == row.kind_);
  CHECK_THAT(ErrorOf(rows).detail_, Catch::Contains(row.place_));
}

TEST_CASE("changed cells are listed, with added and removed rows")
{
  const auto changes =
    ChangedCells(MakeTable(), { MakeRow("rota", 12, 8), MakeRow("new", 1) });
  CHECK(std::count(changes.begin(), changes.end(), "rota.size: 10 -> 12") == 1);
  CHECK(std::count(changes.begin(), changes.end(), "new.size: (none) -> 1") ==
        1);
  CHECK(std::count(
          changes.begin(), changes.end(), "gifts.pool: gifts -> (none)") == 1);
}

namespace {

constexpr std::uint64_t kVersion = 1;

test::FleetDriver
MakeDriver()
{
  test::FleetDriver driver;
  driver.Apply(
    ApplyTable{ { MakeRow("rota", 10, 8), MakeRow("gifts", 3) }, 0 });
  return driver;
}

} // namespace

TEST_CASE("a cell is set or refused")
{
  struct Row
  {
    SetCell command_;
    std::optional<ErrorKind> kind_;
  };
  const auto row = GENERATE(
    Row{ { "rota", "size", "12", kVersion }, {} },
    Row{ { "rota", "min_available", "10", kVersion }, {} },
    Row{ { "rota", "size", "12", 0 }, ErrorKind::VersionConflict },
    Row{ { "rota", "size", "12", 2 }, ErrorKind::VersionConflict },
    Row{ { "rots", "size", "12", kVersion }, ErrorKind::UnknownPool },
    Row{ { "rota", "sizes", "12", kVersion }, ErrorKind::UnknownColumn },
    Row{ { "rota", "pool", "x", kVersion }, ErrorKind::BadRequest },
    Row{ { "rota", "size", "x", kVersion }, ErrorKind::OutOfRange },
    Row{ { "rota", "size", "7", kVersion }, ErrorKind::OutOfRange },
    Row{ { "rota", "min_available", "11", kVersion }, ErrorKind::OutOfRange });
  INFO(row.command_.column_ << " = " << row.command_.value_);
  auto driver = MakeDriver();
  const auto before = driver.fleet_.Table();
  CHECK(driver.fleet_.Check(row.command_).has_value() == row.kind_.has_value());
  const auto result = driver.Apply(row.command_);
  if (row.kind_) {
    REQUIRE(result.error_);
    CHECK(result.error_->kind_ == *row.kind_);
    CHECK(driver.fleet_.Table() == before);
  } else {
    CHECK_FALSE(result.error_);
    CHECK(driver.fleet_.Table().version_ == kVersion + 1);
    CHECK(CellText(driver.fleet_.Table().rows_.at("rota"),
                   row.command_.column_) == row.command_.value_);
  }
  CHECK(result.tableVersion_ == driver.fleet_.Table().version_);
}

// Guards against a table that is applied only in part.
TEST_CASE("a table is applied whole or refused whole")
{
  struct Row
  {
    const char* name_;
    std::vector<PoolRow> rows_;
    std::uint64_t ifVersion_;
    std::optional<ErrorKind> kind_;
  };
  const auto row = GENERATE(
    Row{ "change", { MakeRow("rota", 12) }, kVersion, {} },
    Row{ "empty", {}, kVersion, {} },
    Row{ "stale", { MakeRow("rota", 12) }, 0, ErrorKind::VersionConflict },
    Row{ "range",
         { MakeRow("a", 1), MakeRow("rota", -1) },
         kVersion,
         ErrorKind::OutOfRange },
    Row{ "row", { MakeRow("rota", 3, 4) }, kVersion, ErrorKind::OutOfRange },
    Row{ "name", { MakeRow("", 3) }, kVersion, ErrorKind::BadRequest },
    Row{ "twice",
         { MakeRow("a", 1), MakeRow("a", 1) },
         kVersion,
         ErrorKind::BadRequest },
    Row{ "two spare pools",
         { test::MakeSpareRow("a", 1), test::MakeSpareRow("b", 1) },
         kVersion,
         ErrorKind::InvalidState });
  INFO(row.name_);
  auto driver = MakeDriver();
  const auto before = driver.fleet_.Table();
  CHECK(driver.KindOf(ApplyTable{ row.rows_, row.ifVersion_ }) == row.kind_);
  CHECK((driver.fleet_.Table() == before) == row.kind_.has_value());
}

TEST_CASE("a second spare pool is refused")
{
  auto driver = MakeDriver();
  CHECK(driver.KindOf(SetCell{ "rota", "spare", "yes", 1 }) == std::nullopt);
  CHECK(driver.KindOf(SetCell{ "gifts", "spare", "yes", 2 }) ==
        ErrorKind::InvalidState);
}

// Guards against VMs or jobs whose pool no longer exists.
TEST_CASE("a pool in use is not removed")
{
  auto driver = MakeDriver();
  driver.Apply(AnnounceVm{ test::MakeIdentity("vm-1") });
  REQUIRE(driver.Vm("vm-1").pool_ == "rota");
  const auto withVm = driver.Apply(ApplyTable{ { MakeRow("gifts", 3) }, 1 });
  REQUIRE(withVm.error_);
  CHECK(withVm.error_->kind_ == ErrorKind::InvalidState);
  CHECK_THAT(withVm.error_->detail_, Catch::Contains("1 VMs"));
  driver.Apply(PutJob{ { "j", "gifts", "team", 1, 1, 1, 1, false, false } });
  const auto withJob = driver.Apply(ApplyTable{ { MakeRow("rota", 10) }, 1 });
  REQUIRE(withJob.error_);
  CHECK_THAT(withJob.error_->detail_, Catch::Contains("1 unfinished jobs"));
  driver.Apply(CancelJob{ "j" });
  CHECK(driver.KindOf(ApplyTable{ { MakeRow("rota", 10) }, 1 }) ==
        std::nullopt);
}

// Guards against one operator silently overwriting another's change.
TEST_CASE("of operators racing at one version exactly one wins")
{
  auto driver = MakeDriver();
  int won = 0;
  for (int operatorNumber = 0; operatorNumber < 5; ++operatorNumber) {
    const auto result = driver.Apply(
      SetCell{ "rota", "size", std::to_string(20 + operatorNumber), kVersion });
    won += result.error_ ? 0 : 1;
    CHECK(result.tableVersion_ == kVersion + 1);
  }
  CHECK(won == 1);
  CHECK(driver.fleet_.Table().rows_.at("rota").size_ == 20);
}

// Guards against a resend after a lost answer that is applied twice, or that is
// refused with a conflict caused by its own first attempt.
TEST_CASE("a resend gets the first result and changes nothing but the clock")
{
  auto driver = MakeDriver();
  const auto command = GENERATE(SetCell{ "rota", "size", "12", kVersion },
                                SetCell{ "rota", "size", "12", 9 });
  const auto first = driver.fleet_.Apply({ "one", 5, command }, 50);
  const auto version = driver.fleet_.Table().version_;
  const auto second = driver.fleet_.Apply({ "one", 7, command }, 51);
  CHECK(first == second);
  CHECK(second.index_ == 50);
  CHECK(driver.fleet_.Table().version_ == version);
  CHECK(driver.fleet_.AppliedIndex() == 51);
  CHECK(driver.fleet_.LogicalMs() == 1 + 5 + 7);
}

TEST_CASE("a command without a request id is refused")
{
  Fleet fleet;
  const auto result = fleet.Apply({ "", 0, RemoveVm{ "vm-1" } }, 1);
  REQUIRE(result.error_);
  CHECK(result.error_->kind_ == ErrorKind::BadRequest);
}
