#include "support/process_harness.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace acaciahill::testing {

namespace {

constexpr Millis kPollInterval{ 10 };
// Linux takes ports of outgoing connections from 32768 on by default.
constexpr int kFirstPort = 15000;
constexpr int kLastPort = 32000;

class FileActions
{
public:
  FileActions() { posix_spawn_file_actions_init(&actions_); }
  FileActions(const FileActions&) = delete;
  FileActions& operator=(const FileActions&) = delete;
  ~FileActions() { posix_spawn_file_actions_destroy(&actions_); }

  posix_spawn_file_actions_t* Get() { return &actions_; }

private:
  posix_spawn_file_actions_t actions_{};
};

std::vector<char*>
ToPointers(std::vector<std::string>& aTexts)
{
  std::vector<char*> pointers;
  pointers.reserve(aTexts.size() + 1);
  for (auto& text : aTexts) {
    pointers.push_back(text.data());
  }
  pointers.push_back(nullptr);
  return pointers;
}

std::size_t
FileSize(const std::string& aPath)
{
  std::error_code error;
  const auto size = std::filesystem::file_size(aPath, error);
  return error ? 0 : static_cast<std::size_t>(size);
}

bool
CanBind(int aPort)
{
  try {
    Poco::Net::ServerSocket socket;
    socket.bind(
      Poco::Net::SocketAddress("127.0.0.1", static_cast<std::uint16_t>(aPort)),
      true,
      false);
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

/// Takes a port for the rest of this process. A process that was killed leaves
/// its port free until it is started again, and another test program must not
/// take it in the meantime. The mark is a UDP socket of the same number, which
/// does not get in the way of a TCP listener.
bool
ReservePort(int aPort)
{
  const int mark = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  if (mark >= 0 && ::bind(mark,
                          reinterpret_cast<const sockaddr*>(&address),
                          sizeof(address)) == 0) {
    return true;
  }
  if (mark >= 0) {
    ::close(mark);
  }
  return false;
}

} // namespace

bool
WaitUntil(Millis aTimeout, const std::function<bool()>& aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + aTimeout;
  for (;;) {
    if (aCondition()) {
      return true;
    }
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

std::uint16_t
FreePort()
{
  static std::mutex mutex;
  static std::set<int> used;
  static std::mt19937 random{ std::random_device{}() };
  const std::lock_guard lock(mutex);
  std::uniform_int_distribution<int> ports(kFirstPort, kLastPort);
  for (;;) {
    const int port = ports(random);
    if (used.count(port) == 0 && CanBind(port) && ReservePort(port)) {
      used.insert(port);
      return static_cast<std::uint16_t>(port);
    }
  }
}

std::string
FreeAddress()
{
  return "127.0.0.1:" + std::to_string(FreePort());
}

TemporaryFolder::TemporaryFolder()
{
  std::string path =
    (std::filesystem::temp_directory_path() / "acaciahill-test-XXXXXX")
      .string();
  if (mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder: " +
                             std::string(std::strerror(errno)));
  }
  path_ = path;
}

TemporaryFolder::~TemporaryFolder()
{
  if (std::getenv("ACACIAHILL_KEEP_FILES") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
}

ChildProcess::ChildProcess(const std::string& aProgram,
                           const std::vector<std::string>& aArguments,
                           const std::string& aFolder)
  : outputPath_(aFolder + "/output.log")
{
  std::filesystem::create_directories(aFolder);
  outputStart_ = FileSize(outputPath_);

  FileActions actions;
  posix_spawn_file_actions_addchdir_np(actions.Get(), aFolder.c_str());
  posix_spawn_file_actions_addopen(
    actions.Get(), STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(actions.Get(),
                                   STDOUT_FILENO,
                                   outputPath_.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   0644);
  posix_spawn_file_actions_adddup2(actions.Get(), STDOUT_FILENO, STDERR_FILENO);

  std::vector<std::string> words{ aProgram };
  words.insert(words.end(), aArguments.begin(), aArguments.end());
  const auto pointers = ToPointers(words);
  const int error = posix_spawn(
    &pid_, aProgram.c_str(), actions.Get(), nullptr, pointers.data(), environ);
  if (error != 0) {
    throw std::runtime_error("cannot start " + aProgram + ": " +
                             std::strerror(error));
  }
}

ChildProcess::~ChildProcess()
{
  Kill();
}

void
ChildProcess::Reap(int aOptions)
{
  int status = 0;
  if (exitCode_ || waitpid(pid_, &status, aOptions) != pid_) {
    return;
  }
  exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

bool
ChildProcess::IsRunning()
{
  Reap(WNOHANG);
  return !exitCode_;
}

void
ChildProcess::Signal(int aSignal)
{
  if (IsRunning()) {
    kill(pid_, aSignal);
  }
}

void
ChildProcess::Freeze()
{
  Signal(SIGSTOP);
}

void
ChildProcess::Thaw()
{
  Signal(SIGCONT);
}

void
ChildProcess::Kill()
{
  if (IsRunning()) {
    kill(pid_, SIGKILL);
    Reap(0);
  }
}

std::optional<int>
ChildProcess::Terminate(Millis aTimeout)
{
  Signal(SIGTERM);
  return WaitForExit(aTimeout);
}

std::optional<int>
ChildProcess::WaitForExit(Millis aTimeout)
{
  WaitUntil(aTimeout, [this] { return !IsRunning(); });
  return exitCode_;
}

std::string
ChildProcess::Output() const
{
  std::ifstream in(outputPath_, std::ios::binary);
  in.seekg(static_cast<std::streamoff>(outputStart_));
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

bool
ChildProcess::WaitForOutput(std::string_view aText, Millis aTimeout)
{
  const auto found = [&] { return Output().find(aText) != std::string::npos; };
  WaitUntil(aTimeout, [&] { return found() || !IsRunning(); });
  return found();
}

ProgramRun
RunProgram(const std::string& aProgram,
           const std::vector<std::string>& aArguments,
           const std::string& aFolder,
           Millis aTimeout)
{
  ChildProcess child(aProgram, aArguments, aFolder);
  ProgramRun run;
  run.exitCode_ = child.WaitForExit(aTimeout);
  run.output_ = child.Output();
  return run;
}

std::string
BuildFolder()
{
  const char* folder = std::getenv("ACACIAHILL_BUILD_DIR");
  return folder != nullptr ? folder : ACACIAHILL_BUILD_FOLDER;
}

std::string
DaemonProgram()
{
  return BuildFolder() + "/packages/daemon/acaciahilld";
}

std::string
ClientProgram()
{
  return BuildFolder() + "/packages/client/acaciahill";
}

std::string
SupportProgram(const std::string& aName)
{
  return BuildFolder() + "/tests/support/" + aName;
}

} // namespace acaciahill::testing
