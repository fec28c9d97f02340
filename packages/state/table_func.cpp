#include "state/table_func.h"

#include "state/json_func.h"
#include "state/table/column_table.h"
#include "state/text_func.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>

namespace acaciahill {

namespace {

constexpr std::string_view kYes = "yes";
constexpr std::string_view kNo = "no";
// Tables are edited by hand: over ten times the design target of 21 pools is a
// mistake, and each row costs memory on every node.
constexpr std::size_t kMaxRows = 500;

const ColumnInfo*
FindColumn(std::string_view aName)
{
  const auto* found = std::find_if(
    kColumnTable.begin(), kColumnTable.end(), [aName](const auto& aColumn) {
      return aColumn.name_ == aName;
    });
  return found == kColumnTable.end() ? nullptr : found;
}

Error
UnknownColumnError(std::string_view aName)
{
  std::string known;
  for (const auto& column : kColumnTable) {
    known += Concat(known.empty() ? "" : ", ", column.name_);
  }
  return Refuse(ErrorKind::UnknownColumn,
                "there is no column \"",
                Printable(aName),
                "\"; the columns are ",
                known);
}

Error
OutOfRangeError(const ColumnInfo& aColumn, std::string_view aValue)
{
  return Refuse(ErrorKind::OutOfRange,
                aColumn.name_,
                " \"",
                Printable(aValue),
                "\" must be a whole number from ",
                aColumn.smallest_,
                " to ",
                aColumn.largest_);
}

Error
WrongWordError(const ColumnInfo& aColumn,
               std::string_view aValue,
               std::string_view aAllowed)
{
  return Refuse(ErrorKind::OutOfRange,
                aColumn.name_,
                " \"",
                Printable(aValue),
                "\" must be ",
                aAllowed);
}

std::optional<std::int64_t>
ParseNumber(std::string_view aText)
{
  std::int64_t number = 0;
  const auto* end = aText.data() + aText.size();
  const auto [stop, code] = std::from_chars(aText.data(), end, number);
  if (code != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

bool
IsInRange(const ColumnInfo& aColumn, std::int64_t aNumber)
{
  return aNumber >= aColumn.smallest_ && aNumber <= aColumn.largest_;
}

std::string
CellOf(const PoolRow& aRow, const ColumnInfo& aColumn)
{
  switch (aColumn.kind_) {
    case ColumnKind::Name:
      return aRow.pool_;
    case ColumnKind::Number:
      return std::to_string(aRow.*aColumn.number_);
    case ColumnKind::Action:
      return std::string(WordOf(aRow.drainAction_));
    case ColumnKind::Flag:
      break;
  }
  return std::string(aRow.spare_ ? kYes : kNo);
}

Refusal
SetName(PoolRow& aRow, std::string_view aValue)
{
  aRow.pool_ = aValue;
  return CheckId("pool", aValue);
}

Refusal
SetNumber(PoolRow& aRow, const ColumnInfo& aColumn, std::string_view aValue)
{
  const auto number = ParseNumber(aValue);
  if (!number || !IsInRange(aColumn, *number)) {
    return OutOfRangeError(aColumn, aValue);
  }
  aRow.*aColumn.number_ = *number;
  return std::nullopt;
}

Refusal
SetAction(PoolRow& aRow, const ColumnInfo& aColumn, std::string_view aValue)
{
  for (const auto action : { DrainAction::Wait, DrainAction::Stop }) {
    if (aValue == WordOf(action)) {
      aRow.drainAction_ = action;
      return std::nullopt;
    }
  }
  return WrongWordError(aColumn, aValue, "wait or stop");
}

Refusal
SetFlag(PoolRow& aRow, const ColumnInfo& aColumn, std::string_view aValue)
{
  if (aValue != kYes && aValue != kNo) {
    return WrongWordError(aColumn, aValue, "yes or no");
  }
  aRow.spare_ = aValue == kYes;
  return std::nullopt;
}

Refusal
SetColumn(PoolRow& aRow, const ColumnInfo& aColumn, std::string_view aValue)
{
  switch (aColumn.kind_) {
    case ColumnKind::Name:
      return SetName(aRow, aValue);
    case ColumnKind::Number:
      return SetNumber(aRow, aColumn, aValue);
    case ColumnKind::Action:
      return SetAction(aRow, aColumn, aValue);
    case ColumnKind::Flag:
      break;
  }
  return SetFlag(aRow, aColumn, aValue);
}

struct CsvCell
{
  std::string text_;
  std::size_t line_ = 1;
  // Position of its first character in its line, from 1.
  std::size_t column_ = 1;
};

using CsvRecord = std::vector<CsvCell>;

Error
WithPosition(const CsvCell& aCell, const Error& aError)
{
  return Refuse(aError.kind_,
                "line ",
                aCell.line_,
                ", column ",
                aCell.column_,
                ": ",
                aError.detail_);
}

// Parses CSV according to RFC 4180. Also accepts bare LF line ends, blank
// lines, a missing final newline, and a byte order mark at the start, as
// spreadsheets and editors write them.
class CsvReader
{
public:
  explicit CsvReader(std::string_view aText)
    : rest_(aText)
  {
    constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
    if (rest_.substr(0, kByteOrderMark.size()) == kByteOrderMark) {
      rest_.remove_prefix(kByteOrderMark.size());
    }
  }

  Result<std::vector<CsvRecord>> ReadAll()
  {
    std::vector<CsvRecord> records;
    while (!rest_.empty()) {
      if (TakeLineEnd()) {
        continue;
      }
      auto& record = records.emplace_back();
      do {
        record.push_back({ {}, line_, column_ });
        if (auto error = ReadCell(record.back())) {
          return WithPosition({ {}, line_, column_ }, *error);
        }
      } while (TakeIf(','));
      if (!rest_.empty() && !TakeLineEnd()) {
        return WithPosition(
          { {}, line_, column_ },
          Refuse(ErrorKind::BadRequest,
                 "a comma or the end of the line must follow here"));
      }
    }
    return records;
  }

private:
  bool TakeIf(char aCharacter)
  {
    if (rest_.empty() || rest_.front() != aCharacter) {
      return false;
    }
    Advance();
    return true;
  }

  bool TakeLineEnd()
  {
    if (rest_.substr(0, 2) == "\r\n") {
      Advance();
    }
    return TakeIf('\n');
  }

  char Advance()
  {
    const char character = rest_.front();
    rest_.remove_prefix(1);
    ++column_;
    if (character == '\n') {
      ++line_;
      column_ = 1;
    }
    return character;
  }

  Refusal ReadCell(CsvCell& aCell)
  {
    return TakeIf('"') ? ReadQuoted(aCell) : ReadPlain(aCell);
  }

  Refusal ReadQuoted(CsvCell& aCell)
  {
    while (!rest_.empty()) {
      const char character = Advance();
      if (character != '"') {
        aCell.text_ += character;
      } else if (!TakeIf('"')) {
        return std::nullopt;
      } else {
        aCell.text_ += '"';
      }
    }
    return Refuse(ErrorKind::BadRequest,
                  "the quote opened in line ",
                  aCell.line_,
                  ", column ",
                  aCell.column_,
                  " is not closed");
  }

  Refusal ReadPlain(CsvCell& aCell)
  {
    while (!rest_.empty() && rest_.front() != ',' && rest_.front() != '\n' &&
           rest_.front() != '\r') {
      if (rest_.front() == '"') {
        return Refuse(ErrorKind::BadRequest,
                      "a quote may only stand at the start of a cell");
      }
      aCell.text_ += Advance();
    }
    return std::nullopt;
  }

  std::string_view rest_;
  std::size_t line_ = 1;
  std::size_t column_ = 1;
};

// Resolves the column names of a header line.
Result<std::vector<const ColumnInfo*>>
ReadHeader(const CsvRecord& aHeader)
{
  std::vector<const ColumnInfo*> columns;
  for (const auto& cell : aHeader) {
    const auto* column = FindColumn(cell.text_);
    if (!column) {
      return WithPosition(cell, UnknownColumnError(cell.text_));
    }
    if (std::count(columns.begin(), columns.end(), column) != 0) {
      return WithPosition(cell,
                          Refuse(ErrorKind::BadRequest,
                                 "the column ",
                                 column->name_,
                                 " is there twice"));
    }
    columns.push_back(column);
  }
  if (std::count(columns.begin(), columns.end(), FindColumn("pool")) == 0) {
    return WithPosition(
      aHeader.front(),
      Refuse(ErrorKind::BadRequest,
             "the first line must name the columns, and pool among them"));
  }
  return columns;
}

Result<PoolRow>
ReadRow(const CsvRecord& aRecord,
        const std::vector<const ColumnInfo*>& aColumns,
        const PoolTable& aBase)
{
  if (aRecord.size() != aColumns.size()) {
    return WithPosition(aRecord.front(),
                        Refuse(ErrorKind::BadRequest,
                               "the line has ",
                               aRecord.size(),
                               " cells where the first line has ",
                               aColumns.size()));
  }
  PoolRow row;
  const auto name =
    std::find(aColumns.begin(), aColumns.end(), FindColumn("pool"));
  const auto& pool =
    aRecord[static_cast<std::size_t>(name - aColumns.begin())].text_;
  if (const auto base = aBase.rows_.find(pool); base != aBase.rows_.end()) {
    row = base->second;
  }
  for (std::size_t i = 0; i < aRecord.size(); ++i) {
    if (const auto error = SetColumn(row, *aColumns[i], aRecord[i].text_)) {
      return WithPosition(aRecord[i], *error);
    }
  }
  if (const auto checked = CheckRow(row); !IsOk(checked)) {
    return WithPosition(aRecord.front(), ErrorOf(checked));
  }
  return row;
}

Refusal
CheckNumbers(const PoolRow& aRow)
{
  for (const auto& column : kColumnTable) {
    if (column.number_ && !IsInRange(column, aRow.*column.number_)) {
      return OutOfRangeError(column, std::to_string(aRow.*column.number_));
    }
  }
  return std::nullopt;
}

} // namespace

std::vector<std::string>
ColumnNames()
{
  std::vector<std::string> names;
  names.reserve(kColumnTable.size());
  for (const auto& column : kColumnTable) {
    names.emplace_back(column.name_);
  }
  return names;
}

std::string
CellText(const PoolRow& aRow, std::string_view aColumn)
{
  const auto* column = FindColumn(aColumn);
  return column ? CellOf(aRow, *column) : std::string();
}

Result<PoolRow>
WithCell(const PoolRow& aRow, std::string_view aColumn, std::string_view aValue)
{
  const auto* column = FindColumn(aColumn);
  if (!column) {
    return UnknownColumnError(aColumn);
  }
  auto row = aRow;
  if (auto error = SetColumn(row, *column, aValue)) {
    return *std::move(error);
  }
  return row;
}

Result<Done>
CheckCells(const PoolRow& aRow)
{
  if (auto error =
        FirstRefusal(CheckId("pool", aRow.pool_), CheckNumbers(aRow))) {
    return *std::move(error);
  }
  return Done{};
}

Result<Done>
CheckRow(const PoolRow& aRow)
{
  if (aRow.minAvailable_ > aRow.size_) {
    return Refuse(ErrorKind::OutOfRange,
                  "pool ",
                  aRow.pool_,
                  ": min_available ",
                  aRow.minAvailable_,
                  " is over size ",
                  aRow.size_,
                  "; lower min_available or raise size");
  }
  return Done{};
}

Result<Done>
CheckRows(const std::vector<PoolRow>& aRows)
{
  if (aRows.size() > kMaxRows) {
    return Refuse(ErrorKind::OutOfRange,
                  "the table would have ",
                  aRows.size(),
                  " rows; at most ",
                  kMaxRows,
                  " are allowed");
  }
  std::set<std::string> names;
  const PoolRow* spare = nullptr;
  for (const auto& row : aRows) {
    for (const auto& checked : { CheckCells(row), CheckRow(row) }) {
      if (!IsOk(checked)) {
        return ErrorOf(checked);
      }
    }
    if (!names.insert(row.pool_).second) {
      return Refuse(ErrorKind::BadRequest, "pool ", row.pool_, " has two rows");
    }
    if (row.spare_ && spare) {
      return Refuse(ErrorKind::InvalidState,
                    "pools ",
                    spare->pool_,
                    " and ",
                    row.pool_,
                    " would both be the spare pool; at most one may be");
    }
    spare = row.spare_ ? &row : spare;
  }
  return Done{};
}

std::string
TableToCsv(const PoolTable& aTable)
{
  std::string csv;
  for (const auto& column : kColumnTable) {
    csv += Concat(csv.empty() ? "" : ",", column.name_);
  }
  csv += '\n';
  // No cell needs quotes, as names consist of id characters only.
  for (const auto& [name, row] : aTable.rows_) {
    for (const auto& column : kColumnTable) {
      csv +=
        Concat(&column == kColumnTable.data() ? "" : ",", CellOf(row, column));
    }
    csv += '\n';
  }
  return csv;
}

Result<std::vector<PoolRow>>
RowsFromCsv(std::string_view aCsv, const PoolTable& aBase)
{
  const auto records = CsvReader(aCsv).ReadAll();
  if (!IsOk(records)) {
    return ErrorOf(records);
  }
  if (ValueOf(records).empty()) {
    return Refuse(ErrorKind::BadRequest,
                  "line 1, column 1: the table is empty; its first line must "
                  "name the columns");
  }
  const auto columns = ReadHeader(ValueOf(records).front());
  if (!IsOk(columns)) {
    return ErrorOf(columns);
  }
  std::vector<PoolRow> rows;
  std::set<std::string> names;
  for (std::size_t i = 1; i < ValueOf(records).size(); ++i) {
    const auto& record = ValueOf(records)[i];
    auto row = ReadRow(record, ValueOf(columns), aBase);
    if (!IsOk(row)) {
      return ErrorOf(row);
    }
    if (!names.insert(ValueOf(row).pool_).second) {
      return WithPosition(
        record.front(),
        Refuse(
          ErrorKind::BadRequest, "pool ", ValueOf(row).pool_, " has two rows"));
    }
    rows.push_back(ValueOf(std::move(row)));
  }
  return rows;
}

std::vector<std::string>
ChangedCells(const PoolTable& aOld, const std::vector<PoolRow>& aNew)
{
  std::vector<std::string> changes;
  std::set<std::string> kept;
  for (const auto& row : aNew) {
    kept.insert(row.pool_);
    const auto old = aOld.rows_.find(row.pool_);
    const bool isNew = old == aOld.rows_.end();
    for (const auto& column : kColumnTable) {
      // For a new pool only cells that differ from the defaults are listed.
      const auto before = CellOf(isNew ? PoolRow{} : old->second, column);
      const auto after = CellOf(row, column);
      if (before != after) {
        changes.push_back(Concat(row.pool_,
                                 ".",
                                 column.name_,
                                 ": ",
                                 isNew ? "(none)" : before,
                                 " -> ",
                                 after));
      }
    }
  }
  for (const auto& [name, row] : aOld.rows_) {
    if (kept.count(name) == 0) {
      changes.push_back(Concat(name, ".pool: ", name, " -> (none)"));
    }
  }
  return changes;
}

} // namespace acaciahill
