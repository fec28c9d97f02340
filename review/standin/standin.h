// Stand-ins for the review's scripts: workers, the platform and clients that
// speak PROTOCOL.md over loopback, and the start and end of the real daemons.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point
StartTime()
{
  static const auto start = Clock::now();
  return start;
}

/// Milliseconds since the start of the program.
inline std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               StartTime())
    .count();
}

inline void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

/// The record of what was sent, answered and run.
class Record
{
public:
  static Record& Get()
  {
    static Record record;
    return record;
  }

  void Open(const std::string& aPath) { file_.open(aPath); }

  void Line(const std::string& aText)
  {
    const std::lock_guard lock(mutex_);
    char stamp[32];
    std::snprintf(
      stamp, sizeof stamp, "%9.3f ", static_cast<double>(NowMs()) / 1000);
    file_ << stamp << aText << std::endl;
  }

private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline void
Note(const std::string& aText)
{
  Record::Get().Line(aText);
}

struct Request
{
  std::string method_;
  std::string target_;
  std::map<std::string, std::string> headers_; ///< Names in lower case.
  std::string body_;
};

struct Response
{
  int status_ = 0; ///< 0: no complete response.
  bool sent_ = true;
  std::string body_;
  std::map<std::string, std::string> headers_;
};

inline std::string
Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aC) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aC)));
  });
  return aText;
}

/// Reads one HTTP message from a blocking socket. False at the end of the
/// connection or on an error.
inline bool
ReadMessage(int aSocket,
            std::string& aBuffer,
            std::string& aFirstLine,
            std::map<std::string, std::string>& aHeaders,
            std::string& aBody)
{
  const auto more = [&] {
    char chunk[16384];
    const auto got = ::recv(aSocket, chunk, sizeof chunk, 0);
    if (got <= 0) {
      return false;
    }
    aBuffer.append(chunk, static_cast<std::size_t>(got));
    return true;
  };
  std::size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  std::istringstream head(aBuffer.substr(0, end));
  aBuffer.erase(0, end + 4);
  std::getline(head, aFirstLine);
  aHeaders.clear();
  for (std::string line; std::getline(head, line);) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      const auto value = line.find_first_not_of(' ', colon + 1);
      aHeaders[Lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
    }
  }
  const auto length = aHeaders.find("content-length");
  const std::size_t size =
    length == aHeaders.end() ? 0 : std::stoul(length->second);
  while (aBuffer.size() < size) {
    if (!more()) {
      return false;
    }
  }
  aBody = aBuffer.substr(0, size);
  aBuffer.erase(0, size);
  return true;
}

inline bool
SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t done = 0;
  while (done < aBytes.size()) {
    const auto sent =
      ::send(aSocket, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(sent);
  }
  return true;
}

inline sockaddr_in
ParseAddress(const std::string& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const auto colon = aAddress.find(':');
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  ::inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

/// An HTTP server with one thread a connection. A handler that returns nothing
/// leaves the request without an answer.
class Server
{
public:
  using Handler = std::function<std::optional<Response>(const Request&)>;

  ~Server() { Close(); }

  bool Open(const std::string& aAddress, Handler aHandler)
  {
    handler_ = std::move(aHandler);
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = ParseAddress(aAddress);
    if (::bind(listener_,
               reinterpret_cast<sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(listener_, 128) != 0) {
      ::close(listener_);
      listener_ = -1;
      return false;
    }
    open_ = true;
    acceptor_ = std::thread([this] { Accept(); });
    return true;
  }

  /// Ends the server. With aSilent its connections stay open without a reader,
  /// as after a loss of power; else they are reset.
  void Close(bool aSilent = false)
  {
    if (!open_.exchange(false)) {
      return;
    }
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    acceptor_.join();
    const std::lock_guard lock(mutex_);
    for (const auto socket : sockets_) {
      if (aSilent) {
        continue;
      }
      const linger reset{ 1, 0 };
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      ::shutdown(socket, SHUT_RDWR);
    }
  }

private:
  void Accept()
  {
    while (open_) {
      const int socket = ::accept(listener_, nullptr, nullptr);
      if (socket < 0) {
        return;
      }
      const int on = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard lock(mutex_);
        sockets_.insert(socket);
      }
      std::thread([this, socket] { Serve(socket); }).detach();
    }
  }

  void Serve(int aSocket)
  {
    std::string buffer;
    std::string first;
    Request request;
    while (
      ReadMessage(aSocket, buffer, first, request.headers_, request.body_)) {
      std::istringstream line(first);
      line >> request.method_ >> request.target_;
      if (!open_) {
        // The process is gone: nobody reads.
        SleepMs(120000);
        break;
      }
      const auto response = handler_(request);
      if (!response || !open_) {
        SleepMs(120000);
        break;
      }
      std::string text = "HTTP/1.1 " + std::to_string(response->status_) +
                         " X\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(response->body_.size()) + "\r\n\r\n" +
                         response->body_;
      if (!SendAll(aSocket, text)) {
        break;
      }
    }
    const std::lock_guard lock(mutex_);
    sockets_.erase(aSocket);
    ::close(aSocket);
  }

  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> open_{ false };
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<int> sockets_;
};

/// An open connection of a client; closed when destroyed.
class Connection
{
public:
  Connection(const std::string& aAddress, std::int64_t aTimeoutMs)
    : socket_(::socket(AF_INET, SOCK_STREAM, 0))
  {
    const timeval timeout{ static_cast<time_t>(aTimeoutMs / 1000),
                           static_cast<suseconds_t>(aTimeoutMs % 1000 * 1000) };
    ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    ::setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    auto address = ParseAddress(aAddress);
    isOpen_ = ::connect(socket_,
                        reinterpret_cast<sockaddr*>(&address),
                        sizeof address) == 0;
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { ::close(socket_); }

  /// Sends one request and reads its answer; status 0 without an answer.
  Response Exchange(const std::string& aMethod,
                    const std::string& aTarget,
                    const std::string& aHost,
                    const std::string& aBody,
                    std::int64_t aDeadlineMs = 3000)
  {
    Response response;
    response.sent_ = isOpen_;
    const auto text = aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + aHost +
                      "\r\nX-Deadline-Ms: " + std::to_string(aDeadlineMs) +
                      "\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
    std::string first;
    if (isOpen_ && SendAll(socket_, text) &&
        ReadMessage(
          socket_, buffer_, first, response.headers_, response.body_)) {
      std::istringstream line(first);
      std::string version;
      line >> version >> response.status_;
    }
    return response;
  }

private:
  int socket_;
  bool isOpen_ = false;
  std::string buffer_;
};

/// Sends one request on a new connection. The caller leaves after aTimeoutMs,
/// which may be before the deadline that it names.
inline Response
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aHost,
     const std::string& aBody,
     std::int64_t aTimeoutMs = 3000,
     std::int64_t aDeadlineMs = 3000)
{
  return Connection(aAddress, aTimeoutMs)
    .Exchange(aMethod, aTarget, aHost, aBody, aDeadlineMs);
}

/// Passes connections on to another address. While it is held, as by a
/// partition, the bytes and the ends of open connections wait.
class Proxy
{
public:
  bool Open(const std::string& aAddress, const std::string& aTo)
  {
    to_ = aTo;
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = ParseAddress(aAddress);
    if (::bind(listener_,
               reinterpret_cast<sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(listener_, 128) != 0) {
      return false;
    }
    std::thread([this] { Accept(); }).detach();
    return true;
  }

  void Hold(bool aHold)
  {
    held_ = aHold;
    Note("the path to " + to_ + (aHold ? " is cut" : " is whole again"));
  }

private:
  void Accept()
  {
    while (true) {
      const int client = ::accept(listener_, nullptr, nullptr);
      if (client < 0) {
        return;
      }
      const int server = ::socket(AF_INET, SOCK_STREAM, 0);
      auto address = ParseAddress(to_);
      if (::connect(server,
                    reinterpret_cast<sockaddr*>(&address),
                    sizeof address) != 0) {
        ::close(server);
        ::close(client);
        continue;
      }
      std::thread([this, client, server] { Pump(client, server); }).detach();
      std::thread([this, client, server] { Pump(server, client); }).detach();
    }
  }

  void Pump(int aFrom, int aTo)
  {
    char chunk[16384];
    while (true) {
      const auto got = ::recv(aFrom, chunk, sizeof chunk, 0);
      while (held_) {
        SleepMs(5);
      }
      if (got <= 0 ||
          !SendAll(aTo, std::string(chunk, static_cast<std::size_t>(got)))) {
        ::shutdown(aTo, SHUT_WR);
        return;
      }
    }
  }

  std::string to_;
  int listener_ = -1;
  std::atomic<bool> held_{ false };
};

struct StartSeen
{
  std::int64_t atMs_ = 0;
  std::string worker_;
  std::string task_;
  std::uint32_t run_ = 0;
  std::int64_t endMs_ = -1; ///< -1 while it runs.
  std::string how_;
};

/// All runs that workers have begun, in the order of their starts.
class Runs
{
public:
  static Runs& Get()
  {
    static Runs runs;
    return runs;
  }

  std::size_t Begin(const std::string& aWorker,
                    const std::string& aTask,
                    std::uint32_t aRun)
  {
    const std::lock_guard lock(mutex_);
    runs_.push_back({ NowMs(), aWorker, aTask, aRun, -1, "" });
    return runs_.size() - 1;
  }

  void End(std::size_t aRun, const std::string& aHow)
  {
    const std::lock_guard lock(mutex_);
    runs_[aRun].endMs_ = NowMs();
    runs_[aRun].how_ = aHow;
  }

  std::vector<StartSeen> All() const
  {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

private:
  mutable std::mutex mutex_;
  std::vector<StartSeen> runs_;
};

/// The gangs that run, over all workers. A gang works once all its members are
/// present; one that loses a member breaks.
class Gangs
{
public:
  enum class State
  {
    Waiting,
    Working,
    Done,
    Broken,
  };

  static Gangs& Get()
  {
    static Gangs gangs;
    return gangs;
  }

  void Join(const std::string& aGang, int aMembers, std::int64_t aWorkMs)
  {
    const std::lock_guard lock(mutex_);
    auto& gang = gangs_[aGang];
    if (++gang.present_ == aMembers) {
      gang.endsMs_ = NowMs() + aWorkMs;
    }
  }

  void Break(const std::string& aGang)
  {
    const std::lock_guard lock(mutex_);
    auto& gang = gangs_[aGang];
    gang.broken_ |= gang.endsMs_ < 0 || NowMs() < gang.endsMs_;
  }

  State Look(const std::string& aGang)
  {
    const std::lock_guard lock(mutex_);
    const auto& gang = gangs_[aGang];
    return gang.broken_             ? State::Broken
           : gang.endsMs_ < 0       ? State::Waiting
           : NowMs() < gang.endsMs_ ? State::Working
                                    : State::Done;
  }

private:
  struct Gang
  {
    int present_ = 0;
    std::int64_t endsMs_ = -1;
    bool broken_ = false;
  };

  std::mutex mutex_;
  std::map<std::string, Gang> gangs_;
};

struct WorkerOptions
{
  std::string id_;
  std::string address_;
  std::string service_;
  std::string zone_;
  std::string kind_ = "a";
  std::string rack_;
  std::string machine_;
  std::int64_t cpu_ = 16000;
  std::int64_t memMb_ = 32768;
  /// Index of the control node that gets the first heartbeat.
  std::size_t firstControl_ = 0;
};

/// A worker as PROTOCOL.md describes it. The text of a job says what its tasks
/// do: "ms=N" for the work, "failonce" to end as failed the first time, "lasts"
/// for tasks that last.
class Worker
{
public:
  Worker(WorkerOptions aOptions, std::vector<std::string> aControl)
    : options_(std::move(aOptions))
    , control_(std::move(aControl))
  {
  }

  ~Worker()
  {
    Crash(false, false);
    Join();
  }

  /// Starts a life of the worker, which is slow for aColdMs: until then it
  /// answers no order.
  bool Start(std::int64_t aColdMs = 0)
  {
    {
      const std::lock_guard lock(mutex_);
      coldUntilMs_ = NowMs() + aColdMs;
      ++life_;
      born_ = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
      startedMs_ = NowMs();
      fence_ = 0;
      deadline_ = 0;
      nextEnd_ = 1;
      sequence_ = 0;
      running_.clear();
      ended_.clear();
      stopped_.clear();
      up_ = true;
      registered_ = false;
      state_ = "ready";
    }
    // Never deleted: threads of its connections may outlive the worker.
    auto* server = new Server;
    const auto life = life_.load();
    if (!server->Open(options_.address_, [this, life](const Request& aRequest) {
          return Handle(aRequest, life);
        })) {
      Note("worker " + options_.id_ + " cannot listen");
      return false;
    }
    servers_.push_back(server);
    Note("worker " + options_.id_ + " is up, born " + std::to_string(born_));
    threads_.emplace_back([this, life] { Beat(life); });
    threads_.emplace_back([this, life] { Work(life); });
    return true;
  }

  /// The process ends without a word. With aSilent its connections hang.
  void Crash(bool aSilent, bool aNote = true)
  {
    {
      const std::lock_guard lock(mutex_);
      if (!up_) {
        return;
      }
      up_ = false;
      ++life_;
      for (auto& [task, run] : running_) {
        if (!run.gang_.empty()) {
          Gangs::Get().Break(run.gang_);
        }
        Runs::Get().End(run.seen_, "crashed");
      }
      running_.clear();
      changed_.notify_all();
    }
    if (aNote) {
      Note("worker " + options_.id_ + " crashes" + (aSilent ? " (dark)" : ""));
    }
    servers_.back()->Close(aSilent);
  }

  /// A planned end: says `draining`, goes on for aDrainMs, sends the DELETE and
  /// ends. Both go to aControl on one connection, which is kept open between
  /// them; without an answer to the DELETE for a second it goes to aNext.
  /// Returns false when neither answered.
  bool Leave(std::int64_t aDrainMs,
             const std::string& aControl,
             const std::string& aNext,
             const std::function<void()>& aBeforeDelete)
  {
    const auto path = "/instances/" + options_.id_;
    Connection connection(aControl, 1000);
    std::string body;
    {
      const std::lock_guard lock(mutex_);
      state_ = "draining";
      body = Report(aDrainMs);
    }
    const auto drains = connection.Exchange("PUT", path, aControl, body);
    Note("worker " + options_.id_ + " drains -> " +
         std::to_string(drains.status_));
    SleepMs(aDrainMs);
    aBeforeDelete();
    auto answer = connection.Exchange("DELETE", path, aControl, "");
    Note("DELETE " + path + " at " + aControl + " -> " +
         std::to_string(answer.status_));
    if (answer.status_ / 100 != 2) {
      answer = Call(aNext, "DELETE", path, aNext, "", 1000);
      Note("DELETE " + path + " at " + aNext + " -> " +
           std::to_string(answer.status_));
    }
    Crash(false, false);
    Note("worker " + options_.id_ + " has ended");
    return drains.status_ / 100 == 2 && answer.status_ / 100 == 2;
  }

  void Join()
  {
    for (auto& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

  std::size_t RunningCount()
  {
    const std::lock_guard lock(mutex_);
    return running_.size();
  }

  /// Cuts the worker off from the system, or joins it again. It runs on.
  void Cut(bool aCut)
  {
    cut_ = aCut;
    Note("worker " + options_.id_ +
         (aCut ? " is cut off" : " is joined again"));
  }

  /// A heartbeat of this life was acknowledged.
  bool IsRegistered() const { return registered_; }

  /// Number of heartbeats that were acknowledged.
  std::size_t Beats() const { return beats_; }

  const WorkerOptions& Options() const { return options_; }

private:
  struct Run
  {
    std::uint32_t number_ = 0;
    std::string how_ = "done";
    std::int64_t endsMs_ = -1;
    std::int64_t startedMs_ = 0;
    std::size_t seen_ = 0;
    bool lasts_ = false;
    /// Names the gang and its run; empty for other tasks.
    std::string gang_;
  };

  std::int64_t ClockMs() const { return NowMs() - startedMs_ + 1000; }

  Response Answer(int aStatus, Json aBody)
  {
    aBody["wallClockMs"] = ClockMs();
    Response response;
    response.status_ = aStatus;
    response.body_ = aBody.dump();
    return response;
  }

  std::optional<Response> Handle(const Request& aRequest, std::uint64_t aLife)
  {
    while (cut_ && aLife == life_) {
      SleepMs(10);
    }
    if (aLife == life_ && NowMs() < coldUntilMs_) {
      SleepMs(coldUntilMs_ - NowMs());
    }
    std::unique_lock lock(mutex_);
    if (!up_ || aLife != life_) {
      return std::nullopt;
    }
    const auto expected = aRequest.headers_.find("x-expect-instance");
    if (expected != aRequest.headers_.end() &&
        expected->second != options_.id_) {
      return Answer(421, Json::object());
    }
    const auto body = Json::parse(aRequest.body_, nullptr, false);
    if (!body.is_object()) {
      return Answer(400, Json::object());
    }
    const auto fence = body.value("fencingToken", std::uint64_t{ 0 });
    if (fence < fence_) {
      return Answer(409, { { "reason", "fence" } });
    }
    fence_ = fence;
    if (aRequest.target_ == "/run-start") {
      return StartRun(body);
    }
    if (aRequest.target_ == "/run-stop") {
      const auto task = body.value("task", std::string());
      const auto number = body.value("runId", 0U);
      auto& highest = stopped_[task];
      highest = std::max(highest, number);
      const auto found = running_.find(task);
      if (found != running_.end() && found->second.number_ <= number) {
        EndRun(task, "stopped");
      }
      return Answer(200, Json::object());
    }
    if (aRequest.target_ == "/hold") {
      deadline_ = std::max(deadline_, body.value("deadlineMs", std::int64_t{}));
      const auto seen = body.value("lastSeen", std::uint64_t{ 0 });
      std::erase_if(ended_, [seen](const Json& aEnd) {
        return aEnd[0].get<std::uint64_t>() <= seen;
      });
      const auto wait = body.value("waitMs", 0);
      if (wait > 0 && ended_.empty()) {
        changed_.wait_for(lock, std::chrono::milliseconds(wait), [&] {
          return !ended_.empty() || !up_ || aLife != life_;
        });
        if (!up_ || aLife != life_) {
          return std::nullopt;
        }
      }
      auto running = Json::array();
      for (const auto& [task, run] : running_) {
        const auto percent =
          run.lasts_ ? (NowMs() - run.startedMs_ > 500 ? 100 : 0) : 0;
        running.push_back({ task, run.number_, "", percent, 0 });
      }
      auto ended = Json::array();
      for (std::size_t i = 0; i < ended_.size() && i < 500; ++i) {
        ended.push_back(ended_[i]);
      }
      return Answer(
        200,
        { { "running", running }, { "endedRuns", ended }, { "born", born_ } });
    }
    return Answer(200, Json::object());
  }

  Response StartRun(const Json& aBody)
  {
    const auto task = aBody.value("task", std::string());
    const auto number = aBody.value("runId", 0U);
    const auto spec = aBody.value("spec", std::string());
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.number_ == number) {
      return Answer(200, Json::object());
    }
    const auto stopped = stopped_.find(task);
    deadline_ = std::max(deadline_, aBody.value("deadlineMs", std::int64_t{}));
    if (found != running_.end() ||
        (stopped != stopped_.end() && number <= stopped->second)) {
      return Answer(409, { { "reason", "old" } });
    }
    if (deadline_ <= ClockMs()) {
      return Answer(409, { { "reason", "late" } });
    }
    Run run;
    run.number_ = number;
    run.startedMs_ = NowMs();
    run.lasts_ = spec.find("lasts") != std::string::npos;
    const auto ms = spec.find("ms=");
    if (ms != std::string::npos) {
      run.endsMs_ = NowMs() + std::stol(spec.substr(ms + 3));
    }
    if (spec.find("failonce") != std::string::npos && number == 1) {
      run.how_ = "failed";
    }
    if (const auto gang = spec.find("gang="); gang != std::string::npos) {
      run.gang_ =
        task.substr(0, task.rfind('.')) + "#" + std::to_string(number);
      Gangs::Get().Join(
        run.gang_, std::stoi(spec.substr(gang + 5)), run.endsMs_ - NowMs());
    }
    run.seen_ = Runs::Get().Begin(options_.id_, task, number);
    Note("start " + task + " run " + std::to_string(number) + " on " +
         options_.id_);
    running_[task] = run;
    return Answer(200, Json::object());
  }

  void EndRun(const std::string& aTask, const std::string& aHow)
  {
    const auto found = running_.find(aTask);
    const auto run = found->second;
    running_.erase(found);
    if (!run.gang_.empty() && aHow != "done") {
      Gangs::Get().Break(run.gang_);
    }
    auto& highest = stopped_[aTask];
    highest = std::max(highest, run.number_);
    ended_.push_back({ nextEnd_++, aTask, run.number_, aHow, "" });
    Runs::Get().End(run.seen_, aHow);
    Note("end " + aTask + " run " + std::to_string(run.number_) + " on " +
         options_.id_ + " " + aHow);
    changed_.notify_all();
  }

  void Work(std::uint64_t aLife)
  {
    while (true) {
      {
        const std::lock_guard lock(mutex_);
        if (!up_ || aLife != life_) {
          return;
        }
        const bool lapsed = deadline_ <= ClockMs();
        std::vector<std::pair<std::string, std::string>> ends;
        for (const auto& [task, run] : running_) {
          if (!run.gang_.empty()) {
            const auto gang = Gangs::Get().Look(run.gang_);
            if (gang == Gangs::State::Done) {
              ends.emplace_back(task, "done");
            } else if (gang == Gangs::State::Broken) {
              ends.emplace_back(task, "broken");
            } else if (lapsed) {
              ends.emplace_back(task, "lapsed");
            } else if (gang == Gangs::State::Waiting &&
                       NowMs() - run.startedMs_ > 3000) {
              ends.emplace_back(task, "alone");
            }
          } else if (run.endsMs_ >= 0 && NowMs() >= run.endsMs_) {
            ends.emplace_back(task, run.how_);
          } else if (lapsed) {
            ends.emplace_back(task, "lapsed");
          }
        }
        for (const auto& [task, how] : ends) {
          EndRun(task, how);
        }
      }
      SleepMs(10);
    }
  }

  /// The body of a heartbeat.
  std::string Report(std::int64_t aDrainMs)
  {
    Json json{ { "service", options_.service_ },
               { "address", options_.address_ },
               { "zone", options_.zone_ },
               { "version", "v1" },
               { "slots", 8 },
               { "state", state_ },
               { "coldRemainingMs",
                 std::max<std::int64_t>(0, coldUntilMs_ - NowMs()) },
               { "capacity",
                 { { "cpu", options_.cpu_ },
                   { "memMb", options_.memMb_ },
                   { "gpu", 0 } } },
               { "labels", { options_.kind_, options_.rack_ } },
               { "wallClockMs", ClockMs() },
               { "born", born_ },
               { "sequence", ++sequence_ } };
    if (!options_.machine_.empty()) {
      json["machine"] = options_.machine_;
    }
    if (state_ == "draining") {
      json["drainRemainingMs"] = aDrainMs;
    }
    return json.dump();
  }

  void Beat(std::uint64_t aLife)
  {
    std::size_t next = options_.firstControl_;
    while (true) {
      std::string body;
      {
        const std::lock_guard lock(mutex_);
        if (!up_ || aLife != life_) {
          return;
        }
        body = Report(2000);
      }
      if (cut_) {
        SleepMs(100);
        continue;
      }
      // The next node is called only after a heartbeat that failed.
      const auto& control = control_[next % control_.size()];
      const auto answer =
        Call(control, "PUT", "/instances/" + options_.id_, control, body, 1000);
      const bool acknowledged = answer.status_ / 100 == 2;
      next += acknowledged ? 0 : 1;
      if (acknowledged && aLife == life_) {
        registered_ = true;
        ++beats_;
      }
      const auto wait = acknowledged ? 1500 : 100;
      for (int i = 0; i < wait / 20; ++i) {
        SleepMs(20);
        if (!up_ || aLife != life_) {
          return;
        }
      }
    }
  }

  const WorkerOptions options_;
  const std::vector<std::string> control_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> up_{ false };
  std::atomic<bool> cut_{ false };
  std::atomic<bool> registered_{ false };
  std::atomic<std::size_t> beats_{ 0 };
  std::atomic<std::uint64_t> life_{ 0 };
  std::uint64_t born_ = 0;
  std::int64_t startedMs_ = 0;
  std::atomic<std::int64_t> coldUntilMs_{ 0 };
  std::uint64_t fence_ = 0;
  std::int64_t deadline_ = 0;
  std::uint64_t nextEnd_ = 1;
  std::uint64_t sequence_ = 0;
  std::string state_ = "ready";
  std::map<std::string, Run> running_;
  std::vector<Json> ended_;
  std::map<std::string, std::uint32_t> stopped_;
  std::vector<Server*> servers_;
  std::vector<std::thread> threads_;
};

/// Fills a template as DEPLOY.md describes it, for plain values and sections.
inline std::string
FillTemplate(std::string aText,
             const std::map<std::string, std::string>& aFields)
{
  for (std::size_t at = 0; (at = aText.find("{{", at)) != std::string::npos;) {
    const auto end = aText.find("}}", at);
    const auto name = aText.substr(at + 2, end - at - 2);
    if (name[0] == '#' || name[0] == '^') {
      const auto key = name.substr(1);
      const auto close = "{{/" + key + "}}";
      const auto stop = aText.find(close, end);
      const auto value = aFields.find(key);
      const bool present = value != aFields.end() && !value->second.empty() &&
                           value->second != "false";
      const auto inner = aText.substr(end + 2, stop - end - 2);
      aText.replace(
        at, stop + close.size() - at, present == (name[0] == '#') ? inner : "");
    } else {
      const auto value = aFields.find(name);
      aText.replace(
        at, end + 2 - at, value == aFields.end() ? "" : value->second);
    }
  }
  return aText;
}

/// The real daemons: three control nodes and two entry nodes in three zones,
/// with the command and the template of the deploy file.
class Cluster
{
public:
  Cluster()
  {
    auto pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
    std::random_device random;
    for (int attempt = 0; attempt < 50; ++attempt) {
      base_ = "127." + std::to_string(20 + random() % 200) + "." +
              std::to_string(1 + random() % 250) + ".";
      if (IsFree()) {
        break;
      }
    }
  }

  ~Cluster()
  {
    for (auto& [name, pid] : pids_) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
    if (const char* keep = std::getenv("KEEP_LOGS")) {
      KeepLogs(keep);
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  std::string Ip(int aHost) const { return base_ + std::to_string(aHost); }
  std::string Control(int aIndex) const { return Ip(1 + aIndex) + ":8623"; }
  std::string Entry(int aIndex) const { return Ip(11 + aIndex) + ":8624"; }

  std::vector<std::string> Controls() const
  {
    return { Control(0), Control(1), Control(2) };
  }

  void SetCloud(const std::string& aAddress) { cloud_ = aAddress; }

  void StartAll()
  {
    for (int i = 0; i < 3; ++i) {
      StartNode("core-" + std::to_string(i + 1), Ip(1 + i), i, true, true);
    }
    for (int i = 0; i < 2; ++i) {
      StartNode("edge-" + std::to_string(i + 1), Ip(11 + i), i, false, true);
    }
  }

  void StartNode(const std::string& aName,
                 const std::string& aIp,
                 int aZone,
                 bool aIsControl,
                 bool aBootstrap)
  {
    std::map<std::string, std::string> fields{
      { "ip", aIp },
      { "nodeName", aName },
      { "zone", Zone(aZone) },
      { "internalPortRange.0", "7060" },
      { "internalPortRange.1", "7075" },
      { "seeds", Control(0) + "," + Control(1) + "," + Control(2) },
      { "bootstrap", aBootstrap ? "true" : "false" },
      { "faultTolerance.machines", "1" },
      { "bounds.status_s", "120" },
      { "bounds.maxHoldMs", "6000" },
    };
    if (aIsControl) {
      fields["dataDir"] = folder_ + "/" + aName;
      fields["listen.control"] = aIp + ":8623";
      std::filesystem::create_directories(fields["dataDir"]);
    } else {
      fields["listen.frontend"] = aIp + ":8624";
      fields["listen.readiness"] = aIp + ":8622";
    }
    if (!cloud_.empty()) {
      fields["cloudApi.address"] = cloud_;
      fields["cloudApi.dutyPerS"] = "64.0";
    }
    std::ifstream file("deploy/settings.ini");
    std::stringstream text;
    text << file.rdbuf();
    const auto path = folder_ + "/" + aName + ".conf";
    std::ofstream(path) << FillTemplate(text.str(), fields);
    const auto log = folder_ + "/" + aName + ".log";
    const auto pid = ::fork();
    if (pid == 0) {
      // The node ends with this program, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (std::freopen(log.c_str(), "a", stdout) == nullptr ||
          ::dup2(1, 2) < 0) {
        ::_exit(2);
      }
      ::execl("target/packages/daemon/acaciahilld",
              "target/packages/daemon/acaciahilld",
              "--workload",
              "--config",
              path.c_str(),
              nullptr);
      ::_exit(2);
    }
    pids_[aName] = pid;
    Note("node " + aName + " started");
  }

  /// SIGKILL to one node.
  void Kill(const std::string& aName)
  {
    const auto found = pids_.find(aName);
    ::kill(found->second, SIGKILL);
    ::waitpid(found->second, nullptr, 0);
    pids_.erase(found);
    Note("node " + aName + " killed");
  }

  /// SIGSTOP or SIGCONT to one node.
  void Signal(const std::string& aName, int aSignal)
  {
    ::kill(pids_.at(aName), aSignal);
    Note("node " + aName +
         (aSignal == SIGSTOP ? " is frozen" : " wakes again"));
  }

  /// Index of the control node whose scheduler was started last; -1 for none.
  int Leader() const
  {
    std::string latest;
    int leader = -1;
    for (int i = 0; i < 3; ++i) {
      std::ifstream log(folder_ + "/core-" + std::to_string(i + 1) + ".log");
      for (std::string line; std::getline(log, line);) {
        if (line.find("starting the scheduler") != std::string::npos &&
            line > latest) {
          latest = line;
          leader = i;
        }
      }
    }
    return leader;
  }

  /// True while all started nodes run.
  bool AllRun()
  {
    return std::all_of(pids_.begin(), pids_.end(), [](const auto& aEntry) {
      return ::waitpid(aEntry.second, nullptr, WNOHANG) == 0;
    });
  }

  static std::string Zone(int aIndex)
  {
    static const std::vector<std::string> zones{ "vad-a", "amd-b", "srt-c" };
    return zones[static_cast<std::size_t>(aIndex) % zones.size()];
  }

  /// Sends a configuration until it is acknowledged, as the operator does.
  bool PutConfig(const Json& aConfig)
  {
    for (int i = 0; i < 100; ++i) {
      const auto address = Control(i % 3);
      const auto answer =
        Call(address, "PUT", "/config", address, aConfig.dump(), 1000);
      if (answer.status_ == 200) {
        Note("configuration " + aConfig["version"].dump() + " acknowledged");
        return true;
      }
      SleepMs(200);
    }
    Note("configuration " + aConfig["version"].dump() + " not acknowledged");
    return false;
  }

  /// A copy of the nodes' logs, for the reader of a case.
  void KeepLogs(const std::string& aFolder) const
  {
    std::error_code ignored;
    for (const auto& entry : std::filesystem::directory_iterator(folder_)) {
      if (entry.path().extension() == ".log") {
        std::filesystem::copy_file(
          entry.path(),
          aFolder + "/" + entry.path().filename().string(),
          std::filesystem::copy_options::overwrite_existing,
          ignored);
      }
    }
  }

private:
  bool IsFree() const
  {
    for (const auto host : { 1, 2, 3, 11, 12 }) {
      for (const auto port : { 8622, 8623, 8624, 7060, 7075, 9100 }) {
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = ParseAddress(Ip(host) + ":" + std::to_string(port));
        const bool free = ::bind(socket,
                                 reinterpret_cast<sockaddr*>(&address),
                                 sizeof address) == 0;
        ::close(socket);
        if (!free) {
          return false;
        }
      }
    }
    return true;
  }

  std::string folder_;
  std::string base_;
  std::string cloud_;
  std::map<std::string, pid_t> pids_;
};

/// A client of one queue.
class Client
{
public:
  Client(const Cluster& aCluster, std::string aHost, std::string aPrefix)
    : cluster_(aCluster)
    , host_(std::move(aHost))
    , prefix_(std::move(aPrefix))
  {
  }

  /// Submits a job with up to four retries, as the site's clients do. Returns
  /// the last status.
  int Submit(const std::string& aId, const Json& aJob)
  {
    int status = 0;
    for (int i = 0; i < 5; ++i) {
      status = One("POST", aId, aJob.dump()).status_;
      if (status / 100 == 2 || status == 404 || status == 400) {
        break;
      }
      SleepMs(300);
    }
    return status;
  }

  Response One(const std::string& aMethod,
               const std::string& aId,
               const std::string& aBody = "")
  {
    const auto answer = Call(
      cluster_.Entry(next_++ % 2), aMethod, prefix_ + aId, host_, aBody, 3000);
    Note(aMethod + " " + host_ + prefix_ + aId + " -> " +
         std::to_string(answer.status_) + " " + answer.body_.substr(0, 80));
    return answer;
  }

  /// The job's state; its status in brackets when there is none.
  std::string State(const std::string& aId)
  {
    for (int i = 0; i < 5; ++i) {
      const auto answer = One("GET", aId);
      if (answer.status_ == 200) {
        return Json::parse(answer.body_).value("state", "");
      }
      if (answer.status_ == 410 || answer.status_ == 404) {
        return "[" + std::to_string(answer.status_) + "]";
      }
      SleepMs(200);
    }
    return "[none]";
  }

private:
  const Cluster& cluster_;
  std::string host_;
  std::string prefix_;
  int next_ = 0;
};

inline std::string
JobName(int aNumber)
{
  char name[17];
  std::snprintf(name, sizeof name, "5c0e7a21%08x", aNumber);
  return name;
}

inline Json
Route(const std::string& aName,
      const std::string& aHost,
      const std::string& aPrefix,
      const std::string& aService)
{
  return { { "name", aName },         { "host", aHost },
           { "pathPrefix", aPrefix }, { "type", "unsafe" },
           { "timeoutMs", 3000 },     { "targetLatencyMs", 600 },
           { "priority", 0 },         { "service", aService },
           { "attempts", 3 },         { "stretch", 1.6 } };
}

inline Json
Service(const std::string& aName, bool aSpare = false)
{
  return { { "name", aName },        { "healthCheckPath", "/healthz" },
           { "maxConnections", 64 }, { "protocol", "h1" },
           { "tls", false },         { "enforceCapacity", false },
           { "spare", aSpare } };
}

inline Json
Config(int aVersion, std::vector<Json> aRoutes, std::vector<Json> aServices)
{
  return { { "version", aVersion },
           { "routes", aRoutes },
           { "services", aServices },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 262144 },
               { "headerTimeoutMs", 3000 },
               { "idleTimeoutMs", 15000 } } } };
}

} // namespace review
