#pragma once

#include "kernel/error_type.h"
#include "state/fleet_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace acaciahill {

/// Names of the table's columns in their order; the first is "pool".
std::vector<std::string>
ColumnNames();

/// The text of one cell. The column must exist.
std::string
CellText(const PoolRow& aRow, std::string_view aColumn);

/// The row with one cell changed. Errors: UnknownColumn, OutOfRange with the
/// wrong value and the allowed range.
Result<PoolRow>
WithCell(const PoolRow& aRow,
         std::string_view aColumn,
         std::string_view aValue);

/// Checks each cell of a row on its own. Errors: BadRequest for the name,
/// OutOfRange with the wrong value and the allowed range.
Result<Done>
CheckCells(const PoolRow& aRow);

/// Errors within one row that no single cell shows, such as a min_available
/// over size; Done when it is sound.
Result<Done>
CheckRow(const PoolRow& aRow);

/// Errors between rows: two rows of one pool (BadRequest), more than one spare
/// pool (InvalidState). Checks each row with CheckCells and CheckRow, too.
Result<Done>
CheckRows(const std::vector<PoolRow>& aRows);

/// The table as CSV with a header line.
std::string
TableToCsv(const PoolTable& aTable);

/// Reads a CSV table. Columns may come in any order; columns left out keep
/// their values in aBase, or their defaults in new rows. Errors: BadRequest,
/// UnknownColumn, OutOfRange, each with line and column.
Result<std::vector<PoolRow>>
RowsFromCsv(std::string_view aCsv, const PoolTable& aBase);

/// The cells that differ between two tables, as "pool.column: old -> new".
std::vector<std::string>
ChangedCells(const PoolTable& aOld, const std::vector<PoolRow>& aNew);

} // namespace acaciahill
