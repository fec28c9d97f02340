#pragma once

#include "kernel/error_type.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace acaciahill {

enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

enum class LogFormat : std::uint8_t
{
  Text,
  Json,
};

/// Parses a log level from the settings; Info for unknown words.
LogLevel
LogLevelOf(std::string_view aText);

/// The file name that stands for standard output.
inline constexpr std::string_view kLogToStdout = "-";

/// Where and how the process logs. An empty file means standard error.
struct LogSettings
{
  LogLevel level_ = LogLevel::Info;
  LogFormat format_ = LogFormat::Text;
  std::string file_;
  std::string node_;

  bool operator==(const LogSettings&) const = default;
};

/// One named value of a log line.
struct LogField
{
  LogField(std::string_view aName, std::string_view aValue);
  LogField(std::string_view aName, const char* aValue);
  LogField(std::string_view aName, const std::string& aValue);

  template<typename T>
  requires std::is_arithmetic_v<T> LogField(std::string_view aName, T aValue)
    : name_(aName)
    , value_(std::to_string(aValue))
  {
  }

  std::string_view name_;
  std::string value_;
};

/// Sets up logging; call it once, before any thread starts but its own, which
/// writes the lines. Errors: IoError when the file cannot be opened.
Result<Done>
StartLog(const LogSettings& aSettings);

/// Logs one line with its fields. Never waits for the log to be read: of the
/// lines that wait the oldest are dropped beyond some thousands, and a line
/// tells how many. Callers must not pass secrets, such as keys and bodies of
/// requests.
void
Log(LogLevel aLevel,
    std::string_view aMessage,
    std::initializer_list<LogField> aFields = {});

inline void
LogInfo(std::string_view aMessage, std::initializer_list<LogField> aFields = {})
{
  Log(LogLevel::Info, aMessage, aFields);
}

inline void
LogWarning(std::string_view aMessage,
           std::initializer_list<LogField> aFields = {})
{
  Log(LogLevel::Warning, aMessage, aFields);
}

inline void
LogError(std::string_view aMessage,
         std::initializer_list<LogField> aFields = {})
{
  Log(LogLevel::Error, aMessage, aFields);
}

/// Waits until the lines so far are written; 1 s at most when the log is not
/// read. To be called before the process ends.
void
FlushLog();

/// Lines that were dropped since the start, as the log was not read in time or
/// could not be written.
std::uint64_t
CountDroppedLogLines();

} // namespace acaciahill
