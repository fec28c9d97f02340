#include "client/text_table_func.h"

#include <algorithm>

namespace acaciahill {

namespace {

bool
IsNumber(const std::string& aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return (aChar >= '0' && aChar <= '9') || aChar == '-' ||
                  aChar == '.';
         });
}

std::string
Padded(const std::string& aText, std::size_t aWidth, bool aRight)
{
  const std::string space(aWidth - aText.size(), ' ');
  return aRight ? space + aText : aText + space;
}

} // namespace

std::string
CellOfJson(const nlohmann::json& aValue)
{
  if (aValue.is_null()) {
    return "-";
  }
  if (aValue.is_boolean()) {
    return aValue.get<bool>() ? "yes" : "no";
  }
  if (aValue.is_string()) {
    const auto text = aValue.get<std::string>();
    return text.empty() ? "-" : text;
  }
  if (!aValue.is_array()) {
    return aValue.dump();
  }
  std::string text;
  for (const auto& item : aValue) {
    text += (text.empty() ? "" : ",") + CellOfJson(item);
  }
  return text.empty() ? "-" : text;
}

std::string
AlignText(const std::vector<std::vector<std::string>>& aLines)
{
  std::vector<std::size_t> widths;
  std::vector<bool> numbers;
  for (std::size_t line = 0; line < aLines.size(); ++line) {
    for (std::size_t i = 0; i < aLines[line].size(); ++i) {
      if (i == widths.size()) {
        widths.push_back(0);
        numbers.push_back(true);
      }
      widths[i] = std::max(widths[i], aLines[line][i].size());
      numbers[i] = numbers[i] && (line == 0 || IsNumber(aLines[line][i]));
    }
  }
  std::string text;
  for (const auto& line : aLines) {
    std::string row;
    for (std::size_t i = 0; i < line.size(); ++i) {
      row += (i == 0 ? "" : "  ") + Padded(line[i], widths[i], numbers[i]);
    }
    text += row.substr(0, row.find_last_not_of(' ') + 1) + "\n";
  }
  return text;
}

std::string
ListAsText(const std::vector<TextColumn>& aColumns, const nlohmann::json& aList)
{
  std::vector<std::vector<std::string>> lines(1);
  for (const auto& column : aColumns) {
    lines.front().push_back(column.heading_);
  }
  for (const auto& item : aList) {
    auto& line = lines.emplace_back();
    for (const auto& column : aColumns) {
      const auto found = item.find(column.member_);
      line.push_back(found == item.end() ? "-" : CellOfJson(*found));
    }
  }
  return AlignText(lines);
}

} // namespace acaciahill
