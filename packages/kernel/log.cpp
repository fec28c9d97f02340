#include "kernel/log_func.h"

#include "kernel/log_writer_base.h"
#include "kernel/os_clock_func.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <system_error>
#include <thread>
#include <vector>

namespace acaciahill {

namespace {

// How long FlushLog waits for a log that is not read.
constexpr Millis kMaxFlush{ 1000 };
constexpr Millis kFlushPoll{ 2 };
// Longer values are cut, as lines that wait are counted and not measured.
constexpr std::size_t kMaxValueBytes = 1024;

/// What StartLog sets up.
struct LogState
{
  LogFormat format_ = LogFormat::Text;
  std::string node_;
  /// Of all calls of StartLog; the last one is in use.
  std::vector<std::unique_ptr<LogWriter>> writers_;
};

/// Never destroyed: the thread that writes may hang until the process ends, and
/// threads of libraries may log until then.
LogState&
State()
{
  static auto* const kState = std::make_unique<LogState>().release();
  return *kState;
}

/// Nothing before StartLog.
LogWriter*
Writer()
{
  const auto& writers = State().writers_;
  return writers.empty() ? nullptr : writers.back().get();
}

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
                                  { "node", State().node_ },
                                  { "message", aMessage } };
  for (const auto& field : aFields) {
    line[std::string(field.name_)] =
      std::string_view(field.value_).substr(0, kMaxValueBytes);
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
                     " " + State().node_ + " " + OneLine(aMessage);
  for (const auto& field : aFields) {
    line += " " + std::string(field.name_) + "=" +
            OneLine(std::string_view(field.value_).substr(0, kMaxValueBytes));
  }
  return line;
}

std::string
LineOf(LogLevel aLevel,
       std::string_view aMessage,
       std::initializer_list<LogField> aFields)
{
  return State().format_ == LogFormat::Json
           ? JsonLine(aLevel, aMessage, aFields)
           : TextLine(aLevel, aMessage, aFields);
}

std::string
DroppedLinesText(std::uint64_t aLines, std::uint64_t aTotal)
{
  return LineOf(LogLevel::Warning,
                "log lines were dropped, as the log was not read",
                { { "lines", aLines }, { "total", aTotal } });
}

/// The descriptor to log to; -1 with errno when the file cannot be opened.
int
OpenLog(const std::string& aFile)
{
  if (aFile == kLogToStdout) {
    return STDOUT_FILENO;
  }
  if (aFile.empty()) {
    return STDERR_FILENO;
  }
  constexpr ::mode_t kMode = 0644;
  std::error_code ignored;
  std::filesystem::create_directories(
    std::filesystem::path(aFile).parent_path(), ignored);
  return ::open(
    aFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kMode);
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
  State().format_ = aSettings.format_;
  State().node_ = aSettings.node_;
  const int descriptor = OpenLog(aSettings.file_);
  if (descriptor < 0) {
    return Error{ ErrorKind::IoError,
                  "cannot open the log file " + aSettings.file_ + ": " +
                    std::generic_category().message(errno) };
  }
  auto writer = std::make_unique<LogWriter>(descriptor, DroppedLinesText);
  writer->Logger()->set_level(ToSpdlog(aSettings.level_));
  State().writers_.push_back(std::move(writer));
  return Done{};
}

void
Log(LogLevel aLevel,
    std::string_view aMessage,
    std::initializer_list<LogField> aFields)
{
  auto* writer = Writer();
  auto* logger =
    writer == nullptr ? spdlog::default_logger_raw() : writer->Logger().get();
  const auto level = ToSpdlog(aLevel);
  if (!logger->should_log(level)) {
    return;
  }
  const auto line = LineOf(aLevel, aMessage, aFields);
  if (writer != nullptr) {
    writer->NoteLine();
  }
  logger->log(level, spdlog::string_view_t(line));
}

void
FlushLog()
{
  const auto* writer = Writer();
  if (writer == nullptr) {
    spdlog::default_logger_raw()->flush();
    return;
  }
  for (Millis waited{ 0 }; writer->CountWaiting() > 0 && waited < kMaxFlush;
       waited += kFlushPoll) {
    std::this_thread::sleep_for(kFlushPoll);
  }
}

std::uint64_t
CountDroppedLogLines()
{
  const auto* writer = Writer();
  return writer == nullptr ? 0 : writer->CountDropped();
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
