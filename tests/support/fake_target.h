#pragma once

#include "support/http_func.h"
#include "support/journal.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace acaciahill::testing {

/// What a fake target says of itself, and where.
struct FakeTargetSettings
{
  std::string id_ = "vm-1";
  std::string zone_ = "z1";
  std::string rack_ = "r1";
  std::string listen_ = "127.0.0.1:0";
  /// The address that it announces, such as that of a fault proxy in front of
  /// it; empty means the address on which it listens.
  std::string advertise_;
  /// Announce ports of entry nodes; each announcement goes to one of them at
  /// random, as through a load balancer. Empty announces nothing.
  std::vector<std::string> announce_;
  std::uint64_t incarnation_ = 1;
  std::int64_t cores_ = 16;
  std::int64_t memoryMb_ = 32768;
  std::int64_t slots_ = 8;
  std::int64_t connections_ = 64;
  /// Time that a request takes.
  Millis service_{ 5 };
  /// File of JSON lines about each executed request; empty writes none.
  std::string journal_;
  std::uint64_t seed_ = 1;
  /// Whether answers to requests carry the request's Acaciahill-Request-Id.
  bool echoesRequestId_ = false;
};

/// Stand-in for a users' server: announces itself, keeps the assignment that it
/// is given, executes requests and tasks, and fails in chosen ways.
///
/// Journal: a line {"event": "begin", "run", "id", "incarnation", "nonce",
/// "method", "path", "key", "epoch", "pool", "begin_ns"} when a request starts,
/// and the same with "event": "end", "end_ns" and "interrupted" when it ends.
/// Both are written so that a request in work at a SIGKILL is on record.
///
/// Control: GET /control gives the state; POST /control takes a JSON object
/// with any of the members below. Counts say how many requests are
/// concerned, -1 means all until it is set to 0.
/// - delay_ms, late_ms: time before executing, and between executing and
///   answering;
/// - truncate, twice, malformed, close_before, close_after, refuse, fail:
///   counts of answers cut short, sent twice or not HTTP, of connections
///   closed before or after executing, of requests refused as not run (421),
///   and of requests answered 500;
/// - framing: how an answer's end is marked: "length" (Content-Length),
///   "chunked", or "close" (the end of the connection, which is announced);
/// - truncate_bytes: bytes that an answer cut short lacks, 1 at first;
/// - silence_open: true makes all open connections silent for good; new ones
///   work;
/// - check_epoch: false accepts requests with an older epoch;
/// - announce: false stops announcing;
/// - task_mode ("ok", "fail" or "wrong_size"), task_ms, task_lag_ms;
/// - size_factor: what a task of the wrong size uses, in times of what was
///   declared, 3 at first;
/// - reboot_ms: drops all connections and requests, stays away for this time
///   and returns with the next incarnation and no assignment; the answer has
///   "in_flight", the number of requests that this interrupted;
/// - exit: ends the process with this code.
class FakeTarget
{
public:
  /// Listens and announces at once.
  explicit FakeTarget(FakeTargetSettings aSettings);
  FakeTarget(const FakeTarget&) = delete;
  FakeTarget& operator=(const FakeTarget&) = delete;
  ~FakeTarget();

  std::string Address() const { return address_; }

  /// The state that GET /control gives.
  nlohmann::json Status() const;

  /// Takes the members of a POST /control; returns the answer.
  nlohmann::json Control(const nlohmann::json& aSwitches);

private:
  /// Faults and times set by the control path.
  struct Switches
  {
    Millis delay_{ 0 };
    Millis late_{ 0 };
    std::map<std::string, std::int64_t> counts_;
    std::uint64_t silentUpTo_ = 0;
    std::string framing_ = "length";
    std::size_t truncateBytes_ = 1;
    bool checkEpoch_ = true;
    bool announce_ = true;
    std::string taskMode_ = "ok";
    std::int64_t sizeFactor_ = 3;
    Millis taskTime_{ 2000 };
    Millis taskLag_{ 300 };
  };

  struct Task
  {
    std::uint64_t lease_ = 0;
    std::int64_t milliCores_ = 0;
    std::int64_t memoryMb_ = 0;
    std::string state_ = "running";
    std::uint64_t startedNs_ = 0;
    std::uint64_t endedNs_ = 0;
    bool throttled_ = false;
  };

  nlohmann::json ApplySwitches(const nlohmann::json& aSwitches);
  bool Handle(HttpConnection& aConnection, const HttpMessage& aRequest);
  bool HandleControl(HttpConnection& aConnection, const HttpMessage& aRequest);
  bool HandleRequest(HttpConnection& aConnection, const HttpMessage& aRequest);
  bool SendAnswer(HttpConnection& aConnection, const std::string& aAnswer);
  /// True when the fault of this name concerns the present request.
  bool Take(const std::string& aFault);
  bool IsSilenced(const HttpConnection& aConnection) const;
  /// Sleeps; false when a reboot or the end came first.
  bool Sleep(Millis aTime, std::uint64_t aIncarnation);
  HttpHeaders EchoHeaders() const;
  nlohmann::json AnswerBody(const HttpMessage& aRequest) const;
  void BeginReboot(Millis aTime);

  void AnnounceLoop();
  /// Sends one announcement; returns the time until the next one.
  Millis AnnounceOnce();
  nlohmann::json Announcement();
  nlohmann::json TaskReports();
  void TakeAssignment(const nlohmann::json& aAnswer);
  void TakeOrders(const nlohmann::json& aOrders);
  void StepTasks();

  FakeTargetSettings settings_;
  Journal journal_;
  std::string address_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  Switches switches_;
  bool stopping_ = false;
  bool announceNow_ = false;
  std::uint64_t incarnation_ = 1;
  std::uint64_t awayUntilNs_ = 0;
  std::uint64_t epoch_ = 0;
  std::string pool_;
  bool draining_ = false;
  std::int64_t running_ = 0;
  std::uint64_t runs_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t announced_ = 0;
  std::string lastAnnounceError_;
  std::map<std::string, Task> tasks_;
  std::mt19937_64 random_;

  std::unique_ptr<HttpServer> server_;
  std::thread announcer_;
};

} // namespace acaciahill::testing
