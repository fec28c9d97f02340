#include "support/fake_target.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <sstream>

namespace acaciahill::testing {

namespace {

using nlohmann::json;

constexpr Millis kAnnounceTimeout{ 2000 };
constexpr Millis kAnnounceRetry{ 500 };
constexpr Millis kMinAnnounceInterval{ 50 };
/// A finished task is reported for this long.
constexpr std::uint64_t kTaskKeptNs = 20ULL * 1000 * 1000 * 1000;
constexpr std::uint64_t kNsPerMs = 1000UL * 1000;

const std::vector<std::string>&
FaultNames()
{
  static const std::vector<std::string> kNames{
    "truncate",    "twice",  "malformed", "close_before",
    "close_after", "refuse", "fail",
  };
  return kNames;
}

std::uint64_t
ToNumber(const std::string& aText)
{
  return aText.empty() ? 0 : std::strtoull(aText.c_str(), nullptr, 10);
}

/// An answer as a server sends it that does not know the length beforehand.
std::string
FormatUnsized(const std::string& aFraming,
              int aStatus,
              const HttpHeaders& aHeaders,
              std::string_view aBody)
{
  constexpr std::size_t kChunk = 100;
  const bool isChunked = aFraming == "chunked";
  auto headers = aHeaders;
  headers.emplace_back(isChunked ? "Transfer-Encoding" : "Connection",
                       aFraming);
  auto text = FormatAnswer(aStatus, headers, {});
  text.erase(text.rfind("Content-Length"));
  text += "\r\n";
  if (!isChunked) {
    return text.append(aBody);
  }
  for (; !aBody.empty(); aBody.remove_prefix(std::min(kChunk, aBody.size()))) {
    const auto chunk = aBody.substr(0, kChunk);
    std::ostringstream size;
    size << std::hex << chunk.size();
    text.append(size.str()).append("\r\n").append(chunk).append("\r\n");
  }
  return text + "0\r\n\r\n";
}

bool
SendJson(HttpConnection& aConnection, int aStatus, const json& aBody)
{
  return aConnection.Send(FormatAnswer(
    aStatus, { { "Content-Type", "application/json" } }, aBody.dump()));
}

} // namespace

FakeTarget::FakeTarget(FakeTargetSettings aSettings)
  : settings_(std::move(aSettings))
  , journal_(settings_.journal_)
  , incarnation_(settings_.incarnation_)
  , random_(settings_.seed_)
{
  server_ = std::make_unique<HttpServer>(
    settings_.listen_,
    [this](HttpConnection& aConnection, const HttpMessage& aRequest) {
      return Handle(aConnection, aRequest);
    },
    [this] {
      const std::lock_guard lock(mutex_);
      return MonotonicNs() >= awayUntilNs_;
    });
  address_ = server_->Address();
  announcer_ = std::thread([this] { AnnounceLoop(); });
}

FakeTarget::~FakeTarget()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  announcer_.join();
  server_->Stop();
}

nlohmann::json
FakeTarget::Status() const
{
  const std::lock_guard lock(mutex_);
  json tasks = json::object();
  for (const auto& [id, task] : tasks_) {
    tasks[id] = task.state_;
  }
  return {
    { "id", settings_.id_ },     { "incarnation", incarnation_ },
    { "epoch", epoch_ },         { "pool", pool_ },
    { "draining", draining_ },   { "running", running_ },
    { "runs", runs_ },           { "refused", refused_ },
    { "announced", announced_ }, { "announce_error", lastAnnounceError_ },
    { "tasks", tasks }
  };
}

nlohmann::json
FakeTarget::Control(const nlohmann::json& aSwitches)
{
  auto answer = ApplySwitches(aSwitches);
  if (answer.contains("in_flight")) {
    server_->DropConnections();
  }
  return answer;
}

nlohmann::json
FakeTarget::ApplySwitches(const nlohmann::json& aSwitches)
{
  json answer{ { "ok", true } };
  std::optional<Millis> reboot;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& fault : FaultNames()) {
      if (aSwitches.contains(fault)) {
        switches_.counts_[fault] = aSwitches[fault].get<std::int64_t>();
      }
    }
    const auto setTime = [&](const char* aName, Millis& aTime) {
      aTime = Millis(aSwitches.value(aName, aTime.count()));
    };
    setTime("delay_ms", switches_.delay_);
    setTime("late_ms", switches_.late_);
    setTime("task_ms", switches_.taskTime_);
    setTime("task_lag_ms", switches_.taskLag_);
    switches_.framing_ = aSwitches.value("framing", switches_.framing_);
    switches_.truncateBytes_ =
      aSwitches.value("truncate_bytes", switches_.truncateBytes_);
    switches_.checkEpoch_ =
      aSwitches.value("check_epoch", switches_.checkEpoch_);
    switches_.announce_ = aSwitches.value("announce", switches_.announce_);
    switches_.taskMode_ = aSwitches.value("task_mode", switches_.taskMode_);
    switches_.sizeFactor_ =
      aSwitches.value("size_factor", switches_.sizeFactor_);
    if (aSwitches.value("silence_open", false)) {
      switches_.silentUpTo_ = server_->LastNumber();
    }
    if (aSwitches.contains("reboot_ms")) {
      reboot = Millis(aSwitches["reboot_ms"].get<std::int64_t>());
      answer["in_flight"] = running_;
      answer["at_ns"] = MonotonicNs();
    }
    if (aSwitches.contains("exit")) {
      std::_Exit(aSwitches["exit"].get<int>());
    }
    if (reboot) {
      BeginReboot(*reboot);
    }
    changed_.notify_all();
  }
  return answer;
}

void
FakeTarget::BeginReboot(Millis aTime)
{
  awayUntilNs_ =
    MonotonicNs() + static_cast<std::uint64_t>(aTime.count()) * kNsPerMs;
  ++incarnation_;
  epoch_ = 0;
  pool_.clear();
  draining_ = false;
  tasks_.clear();
}

bool
FakeTarget::Take(const std::string& aFault)
{
  const std::lock_guard lock(mutex_);
  auto& count = switches_.counts_[aFault];
  if (count == 0) {
    return false;
  }
  if (count > 0) {
    --count;
  }
  return true;
}

bool
FakeTarget::IsSilenced(const HttpConnection& aConnection) const
{
  const std::lock_guard lock(mutex_);
  return aConnection.Number() <= switches_.silentUpTo_;
}

bool
FakeTarget::Sleep(Millis aTime, std::uint64_t aIncarnation)
{
  std::unique_lock lock(mutex_);
  return !changed_.wait_for(
    lock, aTime, [&] { return stopping_ || incarnation_ != aIncarnation; });
}

HttpHeaders
FakeTarget::EchoHeaders() const
{
  const std::lock_guard lock(mutex_);
  return { { "Acaciahill-Epoch", std::to_string(epoch_) },
           { "Acaciahill-Draining", draining_ ? "yes" : "no" },
           { "Acaciahill-Incarnation", std::to_string(incarnation_) } };
}

nlohmann::json
FakeTarget::AnswerBody(const HttpMessage& aRequest) const
{
  const std::lock_guard lock(mutex_);
  json body{ { "vm", settings_.id_ },
             { "pool", pool_ },
             { "epoch", epoch_ },
             { "incarnation", incarnation_ },
             { "nonce", aRequest.Header("x-nonce") },
             { "method", aRequest.method_ },
             { "path", aRequest.path_ },
             { "checksum", BodyChecksum(aRequest.body_) },
             { "body", aRequest.body_ } };
  const auto padding = ToNumber(aRequest.Header("x-answer-bytes"));
  if (padding > 0) {
    body["padding"] = std::string(padding, 'x');
  }
  return body;
}

bool
FakeTarget::Handle(HttpConnection& aConnection, const HttpMessage& aRequest)
{
  if (aRequest.path_ == "/control") {
    return HandleControl(aConnection, aRequest);
  }
  if (IsSilenced(aConnection)) {
    aConnection.DiscardUntilClosed();
    return false;
  }
  if (aRequest.path_ == "/.well-known/acaciahill") {
    if (aRequest.Header("acaciahill-announce") == "now") {
      const std::lock_guard lock(mutex_);
      announceNow_ = true;
      changed_.notify_all();
    }
    return aConnection.Send(
      FormatAnswer(200, EchoHeaders(), "", aRequest.method_ == "HEAD"));
  }
  return HandleRequest(aConnection, aRequest);
}

bool
FakeTarget::HandleControl(HttpConnection& aConnection,
                          const HttpMessage& aRequest)
{
  if (aRequest.method_ == "GET") {
    return SendJson(aConnection, 200, Status());
  }
  const auto switches = json::parse(aRequest.body_, nullptr, false);
  if (!switches.is_object()) {
    return SendJson(aConnection, 400, { { "error", "bad_request" } });
  }
  const auto answer = ApplySwitches(switches);
  const bool sent = SendJson(aConnection, 200, answer);
  if (answer.contains("in_flight")) {
    // A reboot closes this connection as well, so its answer goes first.
    server_->DropConnections();
    return false;
  }
  return sent;
}

bool
FakeTarget::HandleRequest(HttpConnection& aConnection,
                          const HttpMessage& aRequest)
{
  if (Take("close_before")) {
    return false;
  }
  const auto refuse = [&] {
    auto headers = EchoHeaders();
    headers.emplace_back("Acaciahill-Outcome", "not-run");
    return aConnection.Send(
      FormatAnswer(421, headers, R"({"error":"target_refused"})"));
  };
  const bool refusedByFault = Take("refuse");

  // The check of the epoch and the start of the run are one step, so that no
  // request of an older epoch starts after a new one was taken.
  json line;
  std::uint64_t incarnation = 0;
  Millis before{ 0 };
  Millis late{ 0 };
  {
    const std::lock_guard lock(mutex_);
    const auto epoch = aRequest.Header("acaciahill-epoch");
    const bool old =
      switches_.checkEpoch_ && !epoch.empty() && ToNumber(epoch) < epoch_;
    if (!old && !refusedByFault) {
      ++running_;
      ++runs_;
      incarnation = incarnation_;
      before = switches_.delay_ + settings_.service_;
      late = switches_.late_;
      line = { { "event", "begin" },
               { "run", runs_ },
               { "id", settings_.id_ },
               { "incarnation", incarnation_ },
               { "nonce", aRequest.Header("x-nonce") },
               { "method", aRequest.method_ },
               { "path", aRequest.path_ },
               { "key", aRequest.Header("idempotency-key") },
               { "epoch", epoch_ },
               { "pool", pool_ },
               { "draining", draining_ },
               { "begin_ns", MonotonicNs() } };
    } else {
      ++refused_;
    }
  }
  if (line.is_null()) {
    return refuse();
  }
  journal_.Write(line);
  const bool whole = Sleep(before, incarnation);
  const auto body = AnswerBody(aRequest);
  line["event"] = "end";
  line["end_ns"] = MonotonicNs();
  line["interrupted"] = !whole;
  journal_.Write(line);
  bool keep = whole;
  if (keep && late.count() > 0) {
    keep = Sleep(late, incarnation);
  }
  {
    const std::lock_guard lock(mutex_);
    --running_;
  }
  if (!keep || Take("close_after")) {
    return false;
  }
  const int status = Take("fail") ? 500 : 200;
  auto headers = EchoHeaders();
  headers.emplace_back("Content-Type", "application/json");
  headers.emplace_back("X-Nonce", aRequest.Header("x-nonce"));
  if (settings_.echoesRequestId_) {
    headers.emplace_back("Acaciahill-Request-Id",
                         aRequest.Header("acaciahill-request-id"));
  }
  std::string framing;
  {
    const std::lock_guard lock(mutex_);
    framing = switches_.framing_;
  }
  if (framing == "length" || aRequest.method_ == "HEAD") {
    return SendAnswer(
      aConnection,
      FormatAnswer(status, headers, body.dump(), aRequest.method_ == "HEAD"));
  }
  return SendAnswer(aConnection,
                    FormatUnsized(framing, status, headers, body.dump())) &&
         framing == "chunked";
}

bool
FakeTarget::SendAnswer(HttpConnection& aConnection, const std::string& aAnswer)
{
  if (IsSilenced(aConnection)) {
    aConnection.DiscardUntilClosed();
    return false;
  }
  if (Take("truncate")) {
    std::size_t lacks = 0;
    {
      const std::lock_guard lock(mutex_);
      lacks = std::min(switches_.truncateBytes_, aAnswer.size());
    }
    aConnection.Send(aAnswer.substr(0, aAnswer.size() - lacks));
    return false;
  }
  if (Take("malformed")) {
    aConnection.Send("HTP/1.1 two hundred\r\n\r\n");
    return false;
  }
  if (!aConnection.Send(aAnswer)) {
    return false;
  }
  return !Take("twice") || aConnection.Send(aAnswer);
}

void
FakeTarget::AnnounceLoop()
{
  while (true) {
    const auto next = AnnounceOnce();
    std::unique_lock lock(mutex_);
    const auto incarnation = incarnation_;
    changed_.wait_for(lock, next, [&] {
      return stopping_ || announceNow_ || incarnation_ != incarnation;
    });
    announceNow_ = false;
    if (stopping_) {
      return;
    }
  }
}

Millis
FakeTarget::AnnounceOnce()
{
  json body;
  std::string address;
  std::uint64_t incarnation = 0;
  {
    const std::lock_guard lock(mutex_);
    const auto now = MonotonicNs();
    if (now < awayUntilNs_) {
      return Millis((awayUntilNs_ - now) / kNsPerMs + 1);
    }
    if (!switches_.announce_ || settings_.announce_.empty()) {
      return kMinAnnounceInterval;
    }
    std::uniform_int_distribution<std::size_t> pick(
      0, settings_.announce_.size() - 1);
    address = settings_.announce_[pick(random_)];
    incarnation = incarnation_;
    StepTasks();
    body = Announcement();
  }
  const auto outcome = HttpCall(address,
                                { "POST",
                                  "/v1/announce",
                                  { { "Content-Type", "application/json" } },
                                  body.dump() },
                                kAnnounceTimeout);
  const auto answer = json::parse(outcome.answer_.body_, nullptr, false);

  const std::lock_guard lock(mutex_);
  if (incarnation != incarnation_) {
    return kMinAnnounceInterval;
  }
  if (!outcome.Answered() || outcome.answer_.status_ != 200 ||
      !answer.is_object()) {
    lastAnnounceError_ = outcome.Answered()
                           ? outcome.answer_.body_
                           : std::string(ReadEndName(outcome.end_));
    return kAnnounceRetry;
  }
  ++announced_;
  lastAnnounceError_.clear();
  TakeAssignment(answer);
  return std::max(kMinAnnounceInterval,
                  Millis(answer.value("next_ms", kAnnounceRetry.count())));
}

nlohmann::json
FakeTarget::Announcement()
{
  std::int64_t milliCores = running_ * 100;
  std::int64_t memoryMb = running_ * 10;
  std::int64_t runningTasks = 0;
  for (const auto& [id, task] : tasks_) {
    if (task.state_ == "running") {
      milliCores += task.milliCores_;
      memoryMb += task.memoryMb_;
      ++runningTasks;
    }
  }
  return { { "id", settings_.id_ },
           { "incarnation", incarnation_ },
           { "zone", settings_.zone_ },
           { "rack", settings_.rack_ },
           { "address",
             settings_.advertise_.empty() ? address_ : settings_.advertise_ },
           { "cores", settings_.cores_ },
           { "memory_mb", settings_.memoryMb_ },
           { "slots", settings_.slots_ },
           { "connections", settings_.connections_ },
           { "running", running_ + runningTasks },
           { "usage",
             { { "cores", static_cast<double>(milliCores) / 1000 },
               { "memory_mb", memoryMb },
               { "age_ms", switches_.taskLag_.count() } } },
           { "epoch", epoch_ },
           { "draining", draining_ },
           { "tasks", TaskReports() } };
}

nlohmann::json
FakeTarget::TaskReports()
{
  json reports = json::array();
  const bool wrongSize = switches_.taskMode_ == "wrong_size";
  for (const auto& [id, task] : tasks_) {
    // A throttled task uses half of its processors.
    const std::int64_t factor = wrongSize ? switches_.sizeFactor_ : 1;
    const auto milliCores =
      task.milliCores_ * factor / (task.throttled_ ? 2 : 1);
    reports.push_back({ { "id", id },
                        { "lease", task.lease_ },
                        { "state", task.state_ },
                        { "usage",
                          { { "cores", static_cast<double>(milliCores) / 1000 },
                            { "memory_mb", task.memoryMb_ * factor },
                            { "age_ms", switches_.taskLag_.count() } } } });
  }
  return reports;
}

void
FakeTarget::TakeAssignment(const nlohmann::json& aAnswer)
{
  const auto epoch = aAnswer.value("epoch", std::uint64_t{ 0 });
  // An entry node that is behind may answer with an older assignment.
  if (epoch >= epoch_) {
    epoch_ = epoch;
    pool_ = aAnswer.value("pool", pool_);
    draining_ = aAnswer.value("drain", false);
  }
  TakeOrders(aAnswer.value("tasks", json::array()));
}

void
FakeTarget::TakeOrders(const nlohmann::json& aOrders)
{
  for (const auto& order : aOrders) {
    const auto id = order.value("id", std::string());
    const auto lease = order.value("lease", std::uint64_t{ 0 });
    const auto action = order.value("order", std::string("run"));
    auto& task = tasks_[id];
    if (lease < task.lease_) {
      continue;
    }
    const bool isNew = task.startedNs_ == 0 || lease > task.lease_;
    if (action == "run" && isNew) {
      task = Task{ lease,
                   static_cast<std::int64_t>(order.value("cores", 1.0) * 1000),
                   order.value("memory_mb", std::int64_t{ 1024 }),
                   "running",
                   MonotonicNs(),
                   0 };
    } else if (action == "checkpoint" && task.state_ == "running") {
      task.lease_ = lease;
      task.state_ = "checkpointed";
      task.endedNs_ = MonotonicNs();
    }
    task.throttled_ = action == "throttle";
  }
}

void
FakeTarget::StepTasks()
{
  const auto now = MonotonicNs();
  const auto lag =
    static_cast<std::uint64_t>(switches_.taskLag_.count()) * kNsPerMs;
  const auto duration =
    static_cast<std::uint64_t>(switches_.taskTime_.count()) * kNsPerMs;
  for (auto it = tasks_.begin(); it != tasks_.end();) {
    auto& task = it->second;
    const bool fails = switches_.taskMode_ == "fail";
    if (task.state_ == "running" &&
        now >= task.startedNs_ + lag + (fails ? 0 : duration)) {
      task.state_ = fails ? "failed" : "completed";
      task.endedNs_ = now;
    }
    const bool isOver = task.endedNs_ != 0 && now > task.endedNs_ + kTaskKeptNs;
    it = isOver ? tasks_.erase(it) : std::next(it);
  }
}

} // namespace acaciahill::testing
