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

/// Sets up logging; call it once, before any thread starts. Errors: IoError
/// when the file cannot be opened.
Result<Done>
StartLog(const LogSettings& aSettings);

/// Writes one line with its fields. Callers must not pass secrets, such as keys
/// and bodies of requests.
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

/// Flushes buffered log lines.
void
FlushLog();

} // namespace acaciahill
