#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace spdlog {
class logger;
namespace details {
class thread_pool;
} // namespace details
} // namespace spdlog

namespace acaciahill {

/// Writes log lines to a descriptor on a thread of its own, so that a log that
/// is not read, or a slow disk, blocks no thread that logs. A bounded number of
/// lines waits; then the oldest are dropped and counted. The destructor waits
/// for lines to be written.
class LogWriter
{
public:
  /// Text of the line that tells how many lines were dropped, since the last
  /// one and in all.
  using DroppedText =
    std::function<std::string(std::uint64_t aLines, std::uint64_t aTotal)>;

  /// The descriptor stays open. It may be non-blocking, and is not changed, as
  /// other processes may share it.
  LogWriter(int aDescriptor, DroppedText aDroppedText);
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;
  ~LogWriter();

  /// The logger whose messages are written, each as one line.
  const std::shared_ptr<spdlog::logger>& Logger() const { return logger_; }

  /// To be called before a line is given to the logger.
  void NoteLine() { ++noted_; }

  /// Lines that are neither written nor dropped.
  std::uint64_t CountWaiting() const;

  std::uint64_t CountDropped() const;

private:
  class Sink;

  std::shared_ptr<spdlog::details::thread_pool> pool_;
  std::shared_ptr<Sink> sink_;
  std::shared_ptr<spdlog::logger> logger_;
  std::atomic<std::uint64_t> noted_{ 0 };
};

} // namespace acaciahill
