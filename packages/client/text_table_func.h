#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace acaciahill {

/// A column of a printed list: its heading, and the member of the JSON objects
/// that it shows.
struct TextColumn
{
  std::string heading_;
  std::string member_;

  bool operator==(const TextColumn&) const = default;
};

/// The text of a JSON value in a cell: "-" for null or a missing value, "yes"
/// and "no", lists joined by commas.
std::string
CellOfJson(const nlohmann::json& aValue);

/// Aligned text of lines of cells; the first line is the heading. Numbers are
/// aligned to the right.
std::string
AlignText(const std::vector<std::vector<std::string>>& aLines);

/// A list of JSON objects as aligned text.
std::string
ListAsText(const std::vector<TextColumn>& aColumns,
           const nlohmann::json& aList);

} // namespace acaciahill
