#pragma once

#include "kernel/time_type.h"

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciahill::testing {

/// Waits until a condition holds, asking every 10 ms. False at the deadline.
bool
WaitUntil(Millis aTimeout, const std::function<bool()>& aCondition);

/// A loopback port that was free and that no running test program has handed
/// out before. It lies below the range from which outgoing connections take
/// theirs.
std::uint16_t
FreePort();

/// "127.0.0.1:PORT" with FreePort().
std::string
FreeAddress();

/// A new folder under the system's folder for temporary files, removed with
/// its content at the end unless the environment variable
/// ACACIAHILL_KEEP_FILES is set.
class TemporaryFolder
{
public:
  TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder();

  const std::string& Path() const { return path_; }

private:
  std::string path_;
};

/// A program started by a test, in a folder of its own, with its output in the
/// file "output.log" there. It is killed at the end of the object's life.
class ChildProcess
{
public:
  /// Starts a program. The folder is created when it is missing; the output is
  /// appended. Throws std::runtime_error when the program cannot be started.
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               const std::string& aFolder);
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  pid_t Pid() const { return pid_; }
  /// True until the process has ended.
  bool IsRunning();
  /// Sends a signal, unless the process has ended.
  void Signal(int aSignal);
  void Freeze();
  void Thaw();
  /// SIGKILL, and waits for the end.
  void Kill();
  /// SIGTERM, and waits for the end. The exit code, 128 plus the signal's
  /// number when a signal ended it, nothing at the deadline.
  std::optional<int> Terminate(Millis aTimeout);
  /// Waits for the process to end by itself.
  std::optional<int> WaitForExit(Millis aTimeout);

  /// Everything written so far to standard output and error since this start.
  std::string Output() const;
  /// Waits for a text in the output. False at the deadline or when the process
  /// has ended without it.
  bool WaitForOutput(std::string_view aText, Millis aTimeout);

private:
  void Reap(int aOptions);

  std::string outputPath_;
  std::size_t outputStart_ = 0;
  pid_t pid_ = 0;
  std::optional<int> exitCode_;
};

/// Runs a program to its end and returns its exit code and output; nothing at
/// the deadline.
struct ProgramRun
{
  std::optional<int> exitCode_;
  std::string output_;
};

ProgramRun
RunProgram(const std::string& aProgram,
           const std::vector<std::string>& aArguments,
           const std::string& aFolder,
           Millis aTimeout);

/// The build folder: the environment variable ACACIAHILL_BUILD_DIR, or the one
/// that this library was built in.
std::string
BuildFolder();

/// Paths of the programs.
std::string
DaemonProgram();
std::string
ClientProgram();
std::string
SupportProgram(const std::string& aName);

} // namespace acaciahill::testing
