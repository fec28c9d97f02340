#include "support/journal.h"

namespace acaciahill::testing {

Journal::Journal(const std::string& aPath)
{
  if (!aPath.empty()) {
    file_.open(aPath, std::ios::app);
  }
}

void
Journal::Write(const nlohmann::json& aLine)
{
  const std::lock_guard lock(mutex_);
  if (file_.is_open()) {
    file_ << aLine.dump(
               -1, ' ', false, nlohmann::json::error_handler_t::replace)
          << '\n';
    file_.flush();
  }
}

std::vector<nlohmann::json>
ReadJsonLines(const std::string& aPath)
{
  std::vector<nlohmann::json> lines;
  std::ifstream in(aPath);
  std::string line;
  while (std::getline(in, line)) {
    auto value = nlohmann::json::parse(line, nullptr, false);
    if (!value.is_discarded()) {
      lines.push_back(std::move(value));
    }
  }
  return lines;
}

} // namespace acaciahill::testing
