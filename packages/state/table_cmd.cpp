#include "state/fleet_editor_base.h"
#include "state/json_func.h"
#include "state/table_func.h"

#include <algorithm>

namespace acaciahill {

namespace {

Refusal
CheckVersion(const PoolTable& aTable, std::uint64_t aIfVersion)
{
  if (aIfVersion == aTable.version_) {
    return std::nullopt;
  }
  return Refuse(ErrorKind::VersionConflict,
                "the change is based on table version ",
                aIfVersion,
                ", but the table is at version ",
                aTable.version_,
                "; read the table again and repeat the change");
}

template<typename T>
Refusal
RefusalOf(const Result<T>& aResult)
{
  return IsOk(aResult) ? Refusal() : Refusal(ErrorOf(aResult));
}

// The rows of a table with one row replaced.
std::vector<PoolRow>
WithRow(const PoolTable& aTable, const PoolRow& aRow)
{
  std::vector<PoolRow> rows;
  for (const auto& [name, row] : aTable.rows_) {
    rows.push_back(name == aRow.pool_ ? aRow : row);
  }
  return rows;
}

Refusal
CheckRemovable(const Fleet& aFleet, const std::string& aPool)
{
  const auto vms = std::count_if(
    aFleet.Vms().begin(), aFleet.Vms().end(), [&](const auto& aVm) {
      return aVm.second.pool_ == aPool || aVm.second.moveTo_ == aPool;
    });
  const auto jobs = std::count_if(
    aFleet.Jobs().begin(), aFleet.Jobs().end(), [&](const auto& aJob) {
      return aJob.second.pool_ == aPool && aFleet.OpenTasks(aJob.first) != 0;
    });
  if (vms == 0 && jobs == 0) {
    return std::nullopt;
  }
  return Refuse(ErrorKind::InvalidState,
                "pool ",
                aPool,
                " cannot be removed: it has ",
                vms,
                " VMs (with those on their way to it) and ",
                jobs,
                " unfinished jobs");
}

Refusal
CheckRemovals(const Fleet& aFleet, const std::vector<PoolRow>& aRows)
{
  std::set<std::string> kept;
  for (const auto& row : aRows) {
    kept.insert(row.pool_);
  }
  for (const auto& [name, row] : aFleet.Table().rows_) {
    if (kept.count(name) == 0) {
      if (auto refusal = CheckRemovable(aFleet, name)) {
        return refusal;
      }
    }
  }
  return std::nullopt;
}

std::string
Join(const std::vector<std::string>& aLines, std::string_view aSeparator)
{
  std::string text;
  for (const auto& line : aLines) {
    text += Concat(text.empty() ? "" : aSeparator, line);
  }
  return text;
}

} // namespace

Refusal
FleetEditor::Check(const Fleet& aFleet, const SetCell& aCommand)
{
  const auto& table = aFleet.Table();
  if (auto conflict = CheckVersion(table, aCommand.ifVersion_)) {
    return conflict;
  }
  const auto row = table.rows_.find(aCommand.pool_);
  if (row == table.rows_.end()) {
    return Refuse(ErrorKind::UnknownPool,
                  "there is no pool \"",
                  Printable(aCommand.pool_),
                  "\" in the table");
  }
  if (aCommand.column_ == "pool") {
    return Refuse(
      ErrorKind::BadRequest,
      "the name of a pool cannot be changed; apply a table with a new "
      "row, move the VMs, then remove the old row");
  }
  const auto changed = WithCell(row->second, aCommand.column_, aCommand.value_);
  if (!IsOk(changed)) {
    return ErrorOf(changed);
  }
  return RefusalOf(CheckRows(WithRow(table, ValueOf(changed))));
}

std::string
FleetEditor::Apply(const SetCell& aCommand)
{
  auto& row = fleet_.table_.rows_.at(aCommand.pool_);
  const auto before = CellText(row, aCommand.column_);
  row = ValueOf(WithCell(row, aCommand.column_, aCommand.value_));
  ++fleet_.table_.version_;
  auto text = Concat(aCommand.pool_,
                     ".",
                     aCommand.column_,
                     ": ",
                     before,
                     " -> ",
                     CellText(row, aCommand.column_));
  RecordDecision(Concat("pool:", aCommand.pool_),
                 Concat("an operator changed ",
                        text,
                        " (table version ",
                        fleet_.table_.version_,
                        ")"));
  return text;
}

Refusal
FleetEditor::Check(const Fleet& aFleet, const ApplyTable& aCommand)
{
  return FirstRefusal(CheckVersion(aFleet.Table(), aCommand.ifVersion_),
                      RefusalOf(CheckRows(aCommand.rows_)),
                      CheckRemovals(aFleet, aCommand.rows_));
}

std::string
FleetEditor::Apply(const ApplyTable& aCommand)
{
  const auto changes = ChangedCells(fleet_.table_, aCommand.rows_);
  fleet_.table_.rows_.clear();
  for (const auto& row : aCommand.rows_) {
    fleet_.table_.rows_.emplace(row.pool_, row);
  }
  ++fleet_.table_.version_;
  std::map<std::string, std::vector<std::string>> byPool;
  for (const auto& change : changes) {
    const auto cell = change.substr(0, change.find(": "));
    byPool[cell.substr(0, cell.rfind('.'))].push_back(change);
  }
  for (const auto& [pool, lines] : byPool) {
    RecordDecision(Concat("pool:", pool),
                   Concat("an operator changed ",
                          Join(lines, "; "),
                          " (table version ",
                          fleet_.table_.version_,
                          ")"));
  }
  return changes.empty() ? "no cell changed" : Join(changes, "\n");
}

} // namespace acaciahill
