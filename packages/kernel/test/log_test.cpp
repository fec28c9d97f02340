#include "kernel/log_func.h"
#include "kernel/log_writer_base.h"
#include "kernel/time_type.h"

#include <catch2/catch.hpp>
#include <spdlog/logger.h>

#include <fcntl.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <future>
#include <sstream>
#include <string>
#include <vector>

using namespace acaciahill;

namespace {

// Time within which lines are logged that nobody reads, also on a busy machine.
constexpr std::chrono::seconds kTimeToLog{ 10 };
// FlushLog gives up after 1 s.
constexpr std::chrono::seconds kTimeToFlush{ 5 };
// Time without a further line in which the expected one should have come.
constexpr int kTimeToReadMs = 10000;

/// A pipe whose writing end StartLog opens as a file.
class LogPipe
{
public:
  LogPipe() { REQUIRE(::pipe2(ends_.data(), O_CLOEXEC) == 0); }
  LogPipe(const LogPipe&) = delete;
  LogPipe& operator=(const LogPipe&) = delete;
  ~LogPipe()
  {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }

  int WritingEnd() const { return ends_[1]; }

  std::string Path() const
  {
    return "/proc/self/fd/" + std::to_string(ends_[1]);
  }

  /// Bytes that were written and not read.
  std::size_t CountBytes() const
  {
    int bytes = 0;
    REQUIRE(::ioctl(ends_[0], FIONREAD, &bytes) == 0);
    return static_cast<std::size_t>(bytes);
  }

  /// Reads until a line that ends with this text.
  std::vector<std::string> ReadUntil(const std::string& aEnd)
  {
    std::string text;
    std::array<char, 65536> part{};
    pollfd ready{ ends_[0], POLLIN, 0 };
    while (!text.ends_with(aEnd + "\n") &&
           ::poll(&ready, 1, kTimeToReadMs) > 0) {
      const auto size = ::read(ends_[0], part.data(), part.size());
      if (size <= 0) {
        break;
      }
      text.append(part.data(), static_cast<std::size_t>(size));
    }
    std::vector<std::string> lines;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
      lines.push_back(line);
    }
    return lines;
  }

private:
  std::array<int, 2> ends_{};
};

std::string
TextOf(int aNumber)
{
  return "line " + std::to_string(aNumber) + " " + std::string(100, 'x');
}

} // namespace

// Load: more lines than the pipe and the queue hold, to a log that nobody reads
// until all of them were logged. Guards against a thread that decides and waits
// for the reader of its log: a leader went on to lead and accepted no job
// (LOST, issue 32), and against lines that are missing without a word.
TEST_CASE("a log that is not read blocks no thread")
{
  constexpr int kLines = 20000;
  LogPipe pipe;
  REQUIRE(
    IsOk(StartLog({ LogLevel::Info, LogFormat::Text, pipe.Path(), "node" })));
  auto logged = std::async(std::launch::async, [] {
    for (int i = 0; i < kLines; ++i) {
      LogInfo(TextOf(i));
    }
  });
  const bool isLogged =
    logged.wait_for(kTimeToLog) == std::future_status::ready;
  CHECK(isLogged);
  if (isLogged) {
    auto flushed = std::async(std::launch::async, [] { FlushLog(); });
    CHECK(flushed.wait_for(kTimeToFlush) == std::future_status::ready);
  }

  const auto lines = pipe.ReadUntil(TextOf(kLines - 1));
  logged.wait();
  REQUIRE(!lines.empty());
  CHECK(lines.back().find(TextOf(kLines - 1)) != std::string::npos);
  std::size_t dropped = 0;
  std::size_t told = 0;
  const std::string kTold = "log lines were dropped";
  for (const auto& line : lines) {
    if (const auto at = line.find(" lines=");
        line.find(kTold) != std::string::npos && at != std::string::npos) {
      dropped += std::stoul(line.substr(at + std::string(" lines=").size()));
      ++told;
    }
  }
  CHECK(told >= 1);
  CHECK(lines.size() - told + dropped == kLines);
  CHECK(CountDroppedLogLines() == dropped);
}

// Load: some lines to a log that is read only after FlushLog. Guards against
// last lines that are lost at the end of the process.
TEST_CASE("the lines before the end are written")
{
  constexpr std::size_t kLines = 300;
  LogPipe pipe;
  REQUIRE(
    IsOk(StartLog({ LogLevel::Info, LogFormat::Json, pipe.Path(), "node" })));
  for (std::size_t i = 0; i < kLines; ++i) {
    LogInfo("a line", { { "number", i } });
  }
  FlushLog();
  const auto written = pipe.CountBytes();
  const auto lines = pipe.ReadUntil("\"number\":\"299\"}");
  REQUIRE(lines.size() == kLines);
  std::size_t bytes = 0;
  for (const auto& line : lines) {
    bytes += line.size() + 1;
  }
  CHECK(written == bytes);
  CHECK(CountDroppedLogLines() == 0);
}

// Load: more lines than a non-blocking pipe holds, which is read meanwhile.
// Guards against lines that are cut or lost on a descriptor that another
// process has set to non-blocking.
TEST_CASE("lines are whole on a non-blocking descriptor")
{
  constexpr std::uint64_t kLines = 3000;
  LogPipe pipe;
  REQUIRE(::fcntl(pipe.WritingEnd(), F_SETFL, O_NONBLOCK) == 0);
  LogWriter writer(pipe.WritingEnd(), [](auto, auto) { return "dropped"; });
  for (std::uint64_t i = 0; i < kLines; ++i) {
    writer.NoteLine();
    writer.Logger()->info("{}", TextOf(static_cast<int>(i)));
  }
  const auto lines = pipe.ReadUntil(TextOf(kLines - 1));
  REQUIRE(lines.size() == kLines);
  CHECK(lines.back() == TextOf(kLines - 1));
  CHECK(writer.CountDropped() == 0);
}

// Guards against lines that are refused without a word, as by a full disk.
TEST_CASE("lines that cannot be written are counted")
{
  LogWriter writer(-1, [](auto, auto) { return "dropped"; });
  writer.NoteLine();
  writer.Logger()->info("a line");
  for (int i = 0; i < 5000 && writer.CountWaiting() > 0; ++i) {
    ::poll(nullptr, 0, 1);
  }
  CHECK(writer.CountWaiting() == 0);
  CHECK(writer.CountDropped() == 1);
}

TEST_CASE("a log file that cannot be opened is an error")
{
  const auto started =
    StartLog({ LogLevel::Info, LogFormat::Text, "/dev/null/log", "n" });
  REQUIRE_FALSE(IsOk(started));
  CHECK(ErrorOf(started).kind_ == ErrorKind::IoError);
}
