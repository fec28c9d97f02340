#pragma once

#include <nlohmann/json.hpp>

#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace acaciahill::testing {

/// A file of JSON lines. Each line is handed to the operating system at once,
/// so that it survives a SIGKILL of the process. Thread-safe.
class Journal
{
public:
  /// An empty path writes nothing.
  explicit Journal(const std::string& aPath);

  void Write(const nlohmann::json& aLine);

private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// The lines of a journal. A torn last line is left out; a missing file is
/// empty.
std::vector<nlohmann::json>
ReadJsonLines(const std::string& aPath);

} // namespace acaciahill::testing
