#include "kernel/error_func.h"
#include "kernel/table/error_table.h"

#include <catch2/catch.hpp>

#include <set>

using namespace acaciahill;

// Guards against an error kind without a table row, which would be reported as
// "internal".
TEST_CASE("every error kind has one row with a unique name")
{
  std::set<std::string_view> names;
  int expected = 1;
  for (const auto& row : detail::kErrorTable) {
    CHECK(static_cast<int>(row.kind_) == expected++);
    CHECK(names.insert(row.name_).second);
    CHECK(ErrorKindFromName(row.name_) == row.kind_);
  }
  CHECK(expected == static_cast<int>(ErrorKind::Internal) + 1);
}

// Guards against an error answer ("not run") with an HTTP status that clients
// treat as success.
TEST_CASE("no error kind answers with a success status")
{
  for (const auto& row : detail::kErrorTable) {
    CHECK(row.httpStatus_ >= 400);
    CHECK(row.exitCode_ > 0);
  }
}
