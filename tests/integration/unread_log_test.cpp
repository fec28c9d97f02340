#include "support/http_func.h"
#include "support/process_harness.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <string>

using namespace acaciahill;
using namespace acaciahill::testing;

namespace {

constexpr Millis kStartLimit{ 20000 };
// The stop of a node without work, and the end of the wait for its log.
constexpr Millis kStopLimit{ 8000 };

/// A pipe in the place of a child's output, which is full and not read.
class FullPipe
{
public:
  explicit FullPipe(const std::string& aFolder)
  {
    const auto path = aFolder + "/output.log";
    REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
    pipe_ = ::open(path.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC);
    REQUIRE(pipe_ >= 0);
    while (::write(pipe_, "x", 1) == 1) {
    }
    REQUIRE(errno == EAGAIN);
  }
  FullPipe(const FullPipe&) = delete;
  FullPipe& operator=(const FullPipe&) = delete;
  ~FullPipe() { ::close(pipe_); }

private:
  int pipe_ = -1;
};

} // namespace

// Load: a control node that starts alone, with a log that nobody reads from its
// first line to its end. Guards against a process that waits for the reader: it
// must serve, lead and end (LOST, issue 32).
TEST_CASE("a control node leads and ends while its log is not read")
{
  const TemporaryFolder folder;
  const FullPipe output(folder.Path());
  const auto metrics = FreeAddress();
  {
    std::ofstream out(folder.Path() + "/settings.ini");
    out << "[node]\nid = 127.0.0.1\nzone = z\nrole = control\ndata_dir = "
        << folder.Path() << "/data\n[listen]\ncontrol = " << FreeAddress()
        << "\npeers = " << FreeAddress() << "\ninternal = " << FreeAddress()
        << "\nmetrics = " << metrics << "\n[cluster]\nseeds = " << FreeAddress()
        << "\nbootstrap = true\ntolerated_losses = 0\n";
  }
  ChildProcess node(DaemonProgram(),
                    { "--workload", "--config", "settings.ini" },
                    folder.Path());
  const auto reads = [&metrics](const std::string& aSeries) {
    const auto outcome =
      HttpCall(metrics, { "GET", "/metrics", {}, "" }, Millis(1000));
    return outcome.answer_.body_.find(aSeries) != std::string::npos;
  };
  CHECK(WaitUntil(kStartLimit,
                  [&] { return reads("acaciahill_scheduler_active 1\n"); }));
  CHECK(reads("acaciahill_log_dropped_lines 0\n"));
  CHECK(node.Terminate(kStopLimit) == 0);
}

// Guards against a process that cannot start and waits with its last line.
TEST_CASE("a node that cannot start ends while its log is not read")
{
  const TemporaryFolder folder;
  const FullPipe output(folder.Path());
  {
    std::ofstream out(folder.Path() + "/settings.ini");
    // No address of this machine.
    out << "[node]\nid = 192.0.2.1\nzone = z\n[listen]\ninternal = "
           "192.0.2.1:9\n[cluster]\nseeds = 192.0.2.1:9\n";
  }
  ChildProcess node(DaemonProgram(),
                    { "--workload", "--config", "settings.ini" },
                    folder.Path());
  const auto code = node.WaitForExit(kStartLimit);
  REQUIRE(code);
  CHECK(*code != 0);
}
