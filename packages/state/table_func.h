#pragma once

#include "kernel/error_type.h"
#include "state/fleet_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace acaciahill {

/// Names of the table's columns in order; the first is "pool".
std::vector<std::string>
ColumnNames();

/// The text of one cell. The column must exist.
std::string
CellText(const PoolRow& aRow, std::string_view aColumn);

/// Returns the row with one cell changed. Errors: UnknownColumn, OutOfRange
/// with the wrong value and the allowed range.
Result<PoolRow>
WithCell(const PoolRow& aRow,
         std::string_view aColumn,
         std::string_view aValue);

/// Checks each cell of a row by itself. Errors: BadRequest for the name,
/// OutOfRange with the wrong value and the allowed range.
Result<Done>
CheckCells(const PoolRow& aRow);

/// Checks the cells of a row against each other. Errors: OutOfRange when
/// min_available exceeds size.
Result<Done>
CheckRow(const PoolRow& aRow);

/// Checks each row with CheckCells and CheckRow, then the rows together.
/// Errors: BadRequest for two rows of one pool, InvalidState for more than one
/// spare pool, OutOfRange for too many rows.
Result<Done>
CheckRows(const std::vector<PoolRow>& aRows);

/// The table as CSV with a header line.
std::string
TableToCsv(const PoolTable& aTable);

/// Parses a CSV table. Columns may come in any order; columns left out keep
/// their values in aBase, or their defaults in new rows. Errors: BadRequest,
/// UnknownColumn, OutOfRange, each with line and column.
Result<std::vector<PoolRow>>
RowsFromCsv(std::string_view aCsv, const PoolTable& aBase);

/// Lists the cells that differ, as "pool.column: old -> new".
std::vector<std::string>
ChangedCells(const PoolTable& aOld, const std::vector<PoolRow>& aNew);

} // namespace acaciahill
