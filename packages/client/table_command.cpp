#include "client/client_func.h"
#include "client/text_table_func.h"
#include "state/json_func.h"
#include "state/table_func.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>
#include <thread>

namespace acaciahill {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kVersionMark = "# version:";
constexpr Millis kBehindPause{ 200 };

/// A table file: the version it was taken from, and its CSV. The comment lines
/// are emptied, not removed, so that errors name the file's own lines.
struct TableFile
{
  std::optional<std::uint64_t> version_;
  std::string csv_;
};

std::optional<std::uint64_t>
ParseVersion(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return std::nullopt;
  }
  aText.remove_prefix(first);
  aText = aText.substr(0, aText.find_last_not_of(" \t\r") + 1);
  std::uint64_t version = 0;
  const auto* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return version;
}

TableFile
ParseTableFile(const std::string& aText)
{
  constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
  TableFile file;
  std::istringstream in(aText.rfind(kByteOrderMark, 0) == 0
                          ? aText.substr(kByteOrderMark.size())
                          : aText);
  std::string line;
  bool isHead = true;
  while (std::getline(in, line)) {
    // Spreadsheets put quotes around a line that is not a row of theirs, and
    // commas after it.
    auto comment = line;
    comment.erase(std::remove(comment.begin(), comment.end(), '"'),
                  comment.end());
    comment = comment.substr(0, comment.find(','));
    const bool isComment = isHead && comment.rfind('#', 0) == 0;
    if (isComment && comment.rfind(kVersionMark, 0) == 0) {
      file.version_ =
        ParseVersion(std::string_view(comment).substr(kVersionMark.size()));
    }
    isHead = isComment;
    file.csv_ += (isComment ? "" : line) + "\n";
  }
  return file;
}

Result<TableFile>
ReadTableFile(const std::string& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  if (!in) {
    return Error{ ErrorKind::IoError, "cannot read \"" + aPath + "\"" };
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ParseTableFile(text.str());
}

/// The version named by --if-version; nothing without the option. Errors:
/// BadRequest.
Result<std::optional<std::uint64_t>>
VersionOption(const CommandContext& aContext)
{
  if (!aContext.Has("if-version")) {
    return std::optional<std::uint64_t>();
  }
  const auto version = NumberOption(aContext, "if-version", 0);
  if (!IsOk(version)) {
    return ErrorOf(version);
  }
  return std::optional(static_cast<std::uint64_t>(ValueOf(version)));
}

/// The table at this version or a later one. A node that has just returned may
/// still be behind the version that the operator has seen.
Result<PoolTable>
ReadTableFrom(AdminClient& aAdmin, std::uint64_t aVersion)
{
  auto left = aAdmin.Settings().timeout_;
  while (true) {
    auto table = aAdmin.ReadTable();
    if (!IsOk(table) || ValueOf(table).version_ >= aVersion) {
      return table;
    }
    if (left.count() <= 0) {
      return Error{ ErrorKind::OutOfRange,
                    "version " + std::to_string(aVersion) +
                      " is not known; the table is at version " +
                      std::to_string(ValueOf(table).version_) };
    }
    std::this_thread::sleep_for(kBehindPause);
    left -= kBehindPause;
  }
}

/// Tells an operator whose change came second what the cell holds now.
void
ExplainLostRace(const CommandContext& aContext,
                const std::string& aPool,
                const std::string& aColumn,
                std::uint64_t aVersion)
{
  aContext.err_ << "another change was accepted after version " << aVersion
                << ", on which this one was based; nothing was changed\n";
  const auto table = aContext.admin_.ReadTable();
  if (!IsOk(table)) {
    return;
  }
  const auto row = ValueOf(table).rows_.find(aPool);
  if (row != ValueOf(table).rows_.end()) {
    aContext.err_ << "version " << ValueOf(table).version_ << " has " << aPool
                  << '.' << aColumn << " = " << CellText(row->second, aColumn)
                  << '\n';
  }
}

Error
StaleFileError(const CommandContext& aContext,
               const PoolTable& aTable,
               const std::vector<PoolRow>& aRows,
               std::uint64_t aVersion)
{
  aContext.err_ << "cells in which the file and version " << aTable.version_
                << " differ:\n";
  for (const auto& change : ChangedCells(aTable, aRows)) {
    aContext.err_ << "  " << change << '\n';
  }
  return { ErrorKind::VersionConflict,
           "the file was taken from version " + std::to_string(aVersion) +
             ", but the table is at version " +
             std::to_string(aTable.version_) +
             "; take it again with acaciahill table --csv" };
}

Json
ApplyCommand(const std::vector<PoolRow>& aRows, std::uint64_t aVersion)
{
  auto rows = Json::array();
  for (const auto& row : aRows) {
    rows.push_back(RowToJson(row));
  }
  return { { "type", "apply_table" },
           { "rows", rows },
           { "if_version", aVersion } };
}

Result<Done>
SendTable(const CommandContext& aContext,
          const std::vector<PoolRow>& aRows,
          std::uint64_t aVersion)
{
  const auto reply = SendChange(aContext, ApplyCommand(aRows, aVersion));
  if (IsOk(reply)) {
    return Done{};
  }
  if (ErrorOf(reply).kind_ == ErrorKind::VersionConflict) {
    const auto table = aContext.admin_.ReadTable();
    if (IsOk(table)) {
      return StaleFileError(aContext, ValueOf(table), aRows, aVersion);
    }
  }
  return ErrorOf(reply);
}

} // namespace

Result<Done>
ShowTable(const CommandContext& aContext)
{
  if (aContext.Has("csv")) {
    const auto table = aContext.admin_.ReadTable();
    if (!IsOk(table)) {
      return ErrorOf(table);
    }
    aContext.out_ << kVersionMark << ' ' << ValueOf(table).version_ << '\n'
                  << TableToCsv(ValueOf(table));
    return Done{};
  }
  const auto json = aContext.admin_.GetJson("/v1/table");
  if (!IsOk(json)) {
    return ErrorOf(json);
  }
  const auto& table = ValueOf(json);
  if (aContext.Has("json")) {
    aContext.out_ << table.dump(2) << '\n';
    return Done{};
  }
  std::vector<TextColumn> columns;
  for (const auto& name : ColumnNames()) {
    columns.push_back({ name, name });
  }
  aContext.out_ << ListAsText(columns, table.at("rows")) << "version "
                << table.at("version").get<std::uint64_t>() << '\n';
  if (table.value("stale", false)) {
    aContext.err_ << "stale: the node that answered cannot reach control, so "
                     "newer versions may exist\n";
  }
  return Done{};
}

Result<Done>
ShowColumns(const CommandContext& aContext)
{
  const auto json = aContext.admin_.GetJson("/v1/columns");
  if (!IsOk(json)) {
    return ErrorOf(json);
  }
  auto columns = ValueOf(json);
  if (aContext.Has("json")) {
    aContext.out_ << columns.dump(2) << '\n';
    return Done{};
  }
  for (auto& column : columns) {
    // Columns of words have no range.
    if (column.value("min", 0) == column.value("max", 0)) {
      column["min"] = nullptr;
      column["max"] = nullptr;
    }
  }
  aContext.out_ << ListAsText({ { "COLUMN", "name" },
                                { "MIN", "min" },
                                { "MAX", "max" },
                                { "DEFAULT", "default" },
                                { "MEANING", "help" } },
                              columns);
  return Done{};
}

Result<Done>
SetTableCell(const CommandContext& aContext)
{
  const auto& pool = aContext.words_[0];
  const auto& column = aContext.words_[1];
  const auto& value = aContext.words_[2];
  const auto given = VersionOption(aContext);
  if (!IsOk(given)) {
    return ErrorOf(given);
  }
  std::uint64_t version = 0;
  if (ValueOf(given)) {
    version = *ValueOf(given);
  } else {
    const auto table = aContext.admin_.ReadTable();
    if (!IsOk(table)) {
      return ErrorOf(table);
    }
    version = ValueOf(table).version_;
  }
  const auto reply = SendChange(aContext,
                                { { "type", "set_cell" },
                                  { "pool", pool },
                                  { "column", column },
                                  { "value", value },
                                  { "if_version", version } });
  if (IsOk(reply)) {
    return Done{};
  }
  if (ErrorOf(reply).kind_ == ErrorKind::VersionConflict) {
    ExplainLostRace(aContext, pool, column, version);
  }
  return ErrorOf(reply);
}

Result<Done>
ApplyTableFile(const CommandContext& aContext)
{
  const auto file = ReadTableFile(aContext.words_[0]);
  if (!IsOk(file)) {
    return ErrorOf(file);
  }
  const auto given = VersionOption(aContext);
  if (!IsOk(given)) {
    return ErrorOf(given);
  }
  const auto version = ValueOf(given) ? ValueOf(given) : ValueOf(file).version_;
  if (!version) {
    return Error{ ErrorKind::BadRequest,
                  "the first line of \"" + aContext.words_[0] +
                    "\" is not \"# version: N\"; take the file with acaciahill "
                    "table --csv, or give --if-version N" };
  }
  const auto table = ReadTableFrom(aContext.admin_, *version);
  if (!IsOk(table)) {
    return ErrorOf(table);
  }
  const auto rows = RowsFromCsv(ValueOf(file).csv_, ValueOf(table));
  if (!IsOk(rows)) {
    return ErrorOf(rows);
  }
  for (const auto& row : ValueOf(rows)) {
    if (const auto checked = CheckRow(row); !IsOk(checked)) {
      return ErrorOf(checked);
    }
  }
  // A repeated attempt may find the table at the version that it made itself;
  // the leader knows its request id and answers with the first result.
  if (ValueOf(table).version_ > *version && !aContext.Has("request-id")) {
    return StaleFileError(aContext, ValueOf(table), ValueOf(rows), *version);
  }
  const auto changes = ChangedCells(ValueOf(table), ValueOf(rows));
  if (changes.empty() && !aContext.Has("request-id")) {
    aContext.out_ << "no cell changed; version " << ValueOf(table).version_
                  << '\n';
    return Done{};
  }
  if (aContext.Has("dry-run")) {
    for (const auto& change : changes) {
      aContext.out_ << change << '\n';
    }
    aContext.out_ << "dry run: nothing was changed\n";
    return Done{};
  }
  return SendTable(aContext, ValueOf(rows), *version);
}

} // namespace acaciahill
