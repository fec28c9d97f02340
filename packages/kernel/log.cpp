#include "kernel/log_func.h"

#include "kernel/os_clock_func.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace acaciahill {

namespace {

LogFormat gFormat = LogFormat::Text;
std::string gNode;

spdlog::level::level_enum
ToSpdlog(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return spdlog::level::debug;
    case LogLevel::Info:
      return spdlog::level::info;
    case LogLevel::Warning:
      return spdlog::level::warn;
    case LogLevel::Error:
      break;
  }
  return spdlog::level::err;
}

std::string_view
LevelName(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      break;
  }
  return "error";
}

std::string
JsonLine(LogLevel aLevel,
         std::string_view aMessage,
         std::initializer_list<LogField> aFields)
{
  nlohmann::ordered_json line = { { "time", WallClockText() },
                                  { "level", LevelName(aLevel) },
                                  { "node", gNode },
                                  { "message", aMessage } };
  for (const auto& field : aFields) {
    line[std::string(field.name_)] = field.value_;
  }
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Replaces control characters, so that text from a peer cannot break a log
/// entry into several lines.
std::string
OneLine(std::string_view aText)
{
  std::string text(aText);
  for (char& c : text) {
    if (static_cast<unsigned char>(c) < ' ') {
      c = ' ';
    }
  }
  return text;
}

std::string
TextLine(LogLevel aLevel,
         std::string_view aMessage,
         std::initializer_list<LogField> aFields)
{
  std::string line = WallClockText() + " " + std::string(LevelName(aLevel)) +
                     " " + gNode + " " + OneLine(aMessage);
  for (const auto& field : aFields) {
    line += " " + std::string(field.name_) + "=" + OneLine(field.value_);
  }
  return line;
}

} // namespace

LogField::LogField(std::string_view aName, std::string_view aValue)
  : name_(aName)
  , value_(aValue)
{
}

LogField::LogField(std::string_view aName, const char* aValue)
  : name_(aName)
  , value_(aValue)
{
}

LogField::LogField(std::string_view aName, const std::string& aValue)
  : name_(aName)
  , value_(aValue)
{
}

Result<Done>
StartLog(const LogSettings& aSettings)
{
  gFormat = aSettings.format_;
  gNode = aSettings.node_;
  try {
    std::shared_ptr<spdlog::logger> logger;
    if (aSettings.file_ == kLogToStdout) {
      logger = spdlog::stdout_logger_mt("acaciahill");
    } else if (aSettings.file_.empty()) {
      logger = spdlog::stderr_logger_mt("acaciahill");
    } else {
      logger = spdlog::basic_logger_mt("acaciahill", aSettings.file_);
    }
    // The line already holds time and level, so spdlog must not add them.
    logger->set_pattern("%v");
    logger->set_level(ToSpdlog(aSettings.level_));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
  } catch (const spdlog::spdlog_ex& error) {
    return Error{ ErrorKind::IoError,
                  "cannot open the log file " + aSettings.file_ + ": " +
                    error.what() };
  }
  return Done{};
}

void
Log(LogLevel aLevel,
    std::string_view aMessage,
    std::initializer_list<LogField> aFields)
{
  auto* logger = spdlog::default_logger_raw();
  const auto level = ToSpdlog(aLevel);
  if (!logger->should_log(level)) {
    return;
  }
  const auto line = gFormat == LogFormat::Json
                      ? JsonLine(aLevel, aMessage, aFields)
                      : TextLine(aLevel, aMessage, aFields);
  logger->log(level, spdlog::string_view_t(line));
}

void
FlushLog()
{
  spdlog::default_logger_raw()->flush();
}

LogLevel
LogLevelOf(std::string_view aText)
{
  if (aText == "debug") {
    return LogLevel::Debug;
  }
  if (aText == "warning") {
    return LogLevel::Warning;
  }
  return aText == "error" ? LogLevel::Error : LogLevel::Info;
}

} // namespace acaciahill
