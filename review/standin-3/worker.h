#pragma once

#include "net.h"
#include "record.h"

#include <nlohmann/json.hpp>

#include <condition_variable>

namespace review {

using nlohmann::json;

/// Properties of a stand-in worker.
struct WorkerOptions
{
  std::string id_;
  std::string address_;
  std::string service_;
  std::string zone_;
  std::string machine_;
  std::vector<std::string> labels_;
  std::int64_t maxHoldMs_ = 6000;
  std::int64_t heartbeatMs_ = 1500;
  std::int64_t stopMs_ = 100;
  std::int64_t cpu_ = 16000;
};

/// A worker as PROTOCOL.md describes it. The text of a task is its run time in
/// ms. It can be cut off: calls that arrive meanwhile get no answer and are not
/// carried out, and its tasks run on.
class Worker
{
public:
  Worker(WorkerOptions aOptions, std::vector<std::string> aControl, Record& aLog)
    : options_(std::move(aOptions))
    , control_(std::move(aControl))
    , log_(aLog)
    , startedAt_(NowMs())
    , born_(UnixMs())
    , server_(options_.address_,
              [this](const Request& aRequest) { return Handle(aRequest); })
    , heartbeat_([this] { Report(); })
    , timer_([this] { RunTimer(); })
  {
  }

  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  ~Worker()
  {
    stop_ = true;
    heartbeat_.join();
    timer_.join();
  }

  void Cut()
  {
    log_.Line(options_.id_ + " is cut off");
    cut_ = true;
  }

  void Join()
  {
    log_.Line(options_.id_ + " is connected again");
    cut_ = false;
  }

  /// The next start gets no answer. It is carried out by the next life, which
  /// takes calls that were meant for its former one.
  void HoldNextStart(bool aHolds) { holdsNextStart_ = aHolds; }
  bool HasHeldStart()
  {
    const std::lock_guard lock(mutex_);
    return heldStart_.has_value();
  }

  /// Loses all that runs, and is dark.
  void Crash()
  {
    const std::lock_guard lock(mutex_);
    log_.Line(options_.id_ + " crashes");
    dark_ = true;
    runs_.clear();
    over_.clear();
    ended_.clear();
    changed_.notify_all();
  }

  /// Starts again under the same id and address: its fence, its lease and all
  /// its counts start anew. The call that was held back is carried out first.
  void Restart()
  {
    std::optional<json> held;
    {
      const std::lock_guard lock(mutex_);
      startedAt_ = NowMs();
      born_ = UnixMs();
      clockStart_ = kLaterClockStart;
      fence_ = 0;
      leaseEnd_ = 0;
      lastEnd_ = 0;
      ++life_;
      held = std::exchange(heldStart_, std::nullopt);
      log_.Line(options_.id_ + " is back under its id");
    }
    if (held) {
      log_.Line(options_.id_ + " carries out the call that was held back");
      Start(*held);
    }
    dark_ = false;
  }

  bool IsOpen() const { return server_.IsOpen(); }
  std::size_t Renewals() const { return renewals_; }
  const std::string& Id() const { return options_.id_; }

  /// Names of the tasks that run now.
  std::vector<std::string> Running()
  {
    const std::lock_guard lock(mutex_);
    Advance();
    std::vector<std::string> tasks;
    for (const auto& [key, run] : runs_) {
      tasks.push_back(key.first);
    }
    return tasks;
  }

  /// An end `done` of the task here was taken note of.
  bool HasNotedDone(const std::string& aTask)
  {
    const std::lock_guard lock(mutex_);
    return notedDone_.contains(aTask);
  }

private:
  using Key = std::pair<std::string, std::int64_t>;
  struct Run
  {
    std::int64_t doneAt_ = 0;
    std::int64_t stopAt_ = 0;
  };
  struct End
  {
    std::int64_t number_ = 0;
    Key key_;
    std::string how_;
  };

  std::int64_t Now() const { return clockStart_ + NowMs() - startedAt_; }

  static std::int64_t UnixMs()
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
  }

  std::optional<Answer> Handle(const Request& aRequest)
  {
    if (cut_ || dark_) {
      return std::nullopt;
    }
    const int life = life_;
    const auto body = json::parse(aRequest.body_, nullptr, false);
    const auto wanted = aRequest.headers_.find("x-expect-instance");
    if (wanted != aRequest.headers_.end() && wanted->second != options_.id_) {
      return Answer{ 421, "{}", {} };
    }
    if (aRequest.path_ == "/run-start" && holdsNextStart_.exchange(false)) {
      const std::lock_guard lock(mutex_);
      log_.Line(options_.id_ + " gets the start of " +
                body.value("task", std::string()) + " run " +
                std::to_string(body.value("runId", 0)) + ": no answer yet");
      heldStart_ = body;
      return std::nullopt;
    }
    auto answer = aRequest.path_ == "/run-start"  ? Start(body)
                  : aRequest.path_ == "/run-stop" ? Stop(body)
                  : aRequest.path_ == "/hold"     ? Hold(body)
                  : aRequest.path_ == "/pace"     ? Pace(body)
                                                  : Answer{ 200, "{}", {} };
    // The answer is lost when the worker was cut off meanwhile.
    return cut_ || dark_ || life != life_ ? std::nullopt
                                          : std::optional(answer);
  }

  Answer Conflict(const char* aReason) const
  {
    return { 409,
             json{ { "wallClockMs", Now() }, { "reason", aReason } }.dump(),
             {} };
  }

  Answer Taken() const
  {
    return { 200, json{ { "wallClockMs", Now() } }.dump(), {} };
  }

  bool TakeFence(const json& aBody)
  {
    const auto fence = aBody.value("fencingToken", std::int64_t{ 0 });
    if (fence < fence_) {
      return false;
    }
    fence_ = fence;
    return true;
  }

  void TakeLease(const json& aBody)
  {
    const auto until = aBody.value("deadlineMs", std::int64_t{ 0 });
    leaseEnd_ =
      std::max(leaseEnd_, std::min(until, Now() + options_.maxHoldMs_));
  }

  Answer Start(const json& aBody)
  {
    const std::lock_guard lock(mutex_);
    Advance();
    const Key key{ aBody.at("task"), aBody.at("runId") };
    const auto text = key.first + " run " + std::to_string(key.second);
    if (!TakeFence(aBody)) {
      log_.Line(options_.id_ + " refuses " + text + ": fence");
      return Conflict("fence");
    }
    if (aBody.value("deadlineMs", std::int64_t{ 0 }) <= Now()) {
      log_.Line(options_.id_ + " refuses " + text + ": late");
      return Conflict("late");
    }
    TakeLease(aBody);
    if (runs_.contains(key)) {
      return Taken();
    }
    const auto over = over_.find(key.first);
    if (over != over_.end() && key.second <= over->second) {
      log_.Line(options_.id_ + " refuses " + text + ": old");
      return Conflict("old");
    }
    const auto spec = aBody.value("spec", std::string());
    runs_[key] = { Now() + std::atoll(spec.c_str()), 0 };
    log_.Line(options_.id_ + " starts " + text);
    return Taken();
  }

  Answer Stop(const json& aBody)
  {
    const std::lock_guard lock(mutex_);
    Advance();
    const Key key{ aBody.at("task"), aBody.at("runId") };
    if (!TakeFence(aBody)) {
      return Conflict("fence");
    }
    log_.Line(options_.id_ + " is told to stop " + key.first + " run " +
              std::to_string(key.second));
    over_[key.first] = std::max(over_[key.first], key.second);
    if (const auto run = runs_.find(key);
        run != runs_.end() && run->second.stopAt_ == 0) {
      run->second.stopAt_ = Now() + options_.stopMs_;
    }
    return Taken();
  }

  Answer Pace(const json& aBody)
  {
    const std::lock_guard lock(mutex_);
    return TakeFence(aBody) ? Taken() : Conflict("fence");
  }

  Answer Hold(const json& aBody)
  {
    std::unique_lock lock(mutex_);
    Advance();
    if (!TakeFence(aBody)) {
      return Conflict("fence");
    }
    TakeLease(aBody);
    const auto seen = aBody.value("lastSeen", std::int64_t{ 0 });
    for (const auto& end : ended_) {
      if (end.number_ <= seen) {
        log_.Line(options_.id_ + ": end of " + end.key_.first + " run " +
                  std::to_string(end.key_.second) + " (" + end.how_ +
                  ") is taken note of");
        if (end.how_ == "done") {
          notedDone_.insert(end.key_.first);
        }
      }
    }
    std::erase_if(ended_, [seen](const End& aEnd) {
      return aEnd.number_ <= seen;
    });
    const auto until = NowMs() + aBody.value("waitMs", std::int64_t{ 0 });
    while (ended_.empty() && !stop_ && !cut_ && !dark_ && NowMs() < until) {
      changed_.wait_for(lock, std::chrono::milliseconds(20));
    }
    ++renewals_;
    json lists{ { "wallClockMs", Now() },
                { "born", born_.load() },
                { "running", json::array() },
                { "endedRuns", json::array() } };
    for (const auto& [key, run] : runs_) {
      lists["running"].push_back(
        json::array({ key.first, key.second, "", 100, 100 }));
    }
    for (const auto& end : ended_) {
      lists["endedRuns"].push_back(json::array(
        { end.number_, end.key_.first, end.key_.second, end.how_, "" }));
    }
    return { 200, lists.dump(), {} };
  }

  /// Ends the runs that are due. The mutex is held.
  void Advance()
  {
    const auto now = Now();
    std::vector<std::pair<Key, std::string>> over;
    for (const auto& [key, run] : runs_) {
      if (run.doneAt_ <= std::min(now, leaseEnd_)) {
        over.emplace_back(key, "done");
      } else if (leaseEnd_ <= now) {
        over.emplace_back(key, "lapsed");
      } else if (run.stopAt_ > 0 && run.stopAt_ <= now) {
        over.emplace_back(key, "stopped");
      }
    }
    for (const auto& [key, how] : over) {
      runs_.erase(key);
      over_[key.first] = std::max(over_[key.first], key.second);
      ended_.push_back({ ++lastEnd_, key, how });
      log_.Line(options_.id_ + ": " + key.first + " run " +
                std::to_string(key.second) + " ends " + how);
    }
    if (!over.empty()) {
      changed_.notify_all();
    }
  }

  void RunTimer()
  {
    while (!stop_) {
      SleepMs(10);
      const std::lock_guard lock(mutex_);
      Advance();
    }
  }

  void Report()
  {
    std::int64_t sequence = 0;
    int reportedLife = life_;
    std::size_t node = 0;
    while (!stop_) {
      if (cut_ || dark_) {
        SleepMs(10);
        continue;
      }
      if (reportedLife != life_) {
        reportedLife = life_;
        sequence = 0;
      }
      json report{ { "service", options_.service_ },
                   { "address", options_.address_ },
                   { "zone", options_.zone_ },
                   { "version", "v1" },
                   { "slots", 8 },
                   { "state", "ready" },
                   { "coldRemainingMs", 0 },
                   { "capacity",
                     { { "cpu", options_.cpu_ },
                       { "memMb", 32768 },
                       { "gpu", 0 } } },
                   { "labels", options_.labels_ },
                   { "wallClockMs", Now() },
                   { "born", born_.load() },
                   { "sequence", ++sequence } };
      if (!options_.machine_.empty()) {
        report["machine"] = options_.machine_;
      }
      const auto answer = Call(control_[node % control_.size()],
                               "PUT",
                               "/instances/" + options_.id_,
                               "control",
                               report.dump(),
                               1000);
      if (!answer || answer->status_ / 100 != 2) {
        ++node;
        SleepMs(100);
        continue;
      }
      for (std::int64_t slept = 0;
           slept < options_.heartbeatMs_ && !stop_ && reportedLife == life_;
           slept += 20) {
        SleepMs(20);
      }
    }
  }

  static constexpr std::int64_t kClockStart = 600000;
  static constexpr std::int64_t kLaterClockStart = 150000;

  const WorkerOptions options_;
  const std::vector<std::string> control_;
  Record& log_;
  std::atomic<std::int64_t> startedAt_;
  std::atomic<std::int64_t> born_;
  std::atomic<std::int64_t> clockStart_{ kClockStart };
  std::atomic<int> life_{ 1 };
  std::atomic<bool> stop_{ false };
  std::atomic<bool> cut_{ false };
  std::atomic<bool> dark_{ false };
  std::atomic<bool> holdsNextStart_{ false };
  std::optional<json> heldStart_;
  std::atomic<std::size_t> renewals_{ 0 };
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, Run> runs_;
  std::map<std::string, std::int64_t> over_;
  std::vector<End> ended_;
  std::int64_t lastEnd_ = 0;
  std::int64_t fence_ = 0;
  std::int64_t leaseEnd_ = 0;
  std::set<std::string> notedDone_;
  Server server_;
  std::thread heartbeat_;
  std::thread timer_;
};

} // namespace review
