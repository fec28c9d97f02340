#include "restart_scene.h"

#include "kernel/os_clock_func.h"
#include "platform/standin/documents_func.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace acaciahill::testing {

using platform::standin::RestartableWorker;
using platform::standin::RestartableWorkerOptions;

namespace {

constexpr int kFirstWorkerHost = 10;
constexpr int kWorkers = 4;
constexpr int kCrashingWorkers = 2;
constexpr std::int64_t kOk = 200;
constexpr std::uint64_t kDefaultSeed = 57;
constexpr Millis kTick{ 5 };
constexpr std::size_t kShownLines = 6;

// The course of a scene.
constexpr Millis kCrashAt{ 1500 };
constexpr Millis kCrashSpread{ 400 };
constexpr Millis kDarkTime{ 600 };
constexpr Millis kUpTime{ 1000 };
constexpr Millis kLeaderDownTime{ 2000 };
constexpr Millis kSubmitAfterReturn{ 1500 };
constexpr Millis kMinSubmitInterval{ 15 };
constexpr Millis kSubmitSpread{ 30 };

constexpr Millis kCallTimeout{ 3000 };
constexpr Millis kCallRetry{ 200 };
constexpr Millis kFirstQuestion{ 12000 };
constexpr Millis kQuestionInterval{ 500 };
constexpr Millis kStartTimeout{ 30000 };
// Several times what the jobs take with two crashes and every lease in between.
constexpr Millis kSceneTimeout{ 90000 };

template<typename... Visitors>
struct Overloaded : Visitors...
{
  using Visitors::operator()...;
};
template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

/// Settings of a node beyond its addresses.
constexpr const char* kCommonSettings = "[timing]\n"
                                        "heartbeat_ms = 120\n"
                                        "election_min_ms = 600\n"
                                        "election_max_ms = 1200\n"
                                        "[workload]\n"
                                        "lease_ms = 4000\n"
                                        "max_lease_ms = 10000\n";

Millis
RandomTime(std::mt19937_64& aRandom, Millis aMax)
{
  return Millis(
    std::uniform_int_distribution<Millis::rep>(0, aMax.count())(aRandom));
}

std::string
JobPath(std::size_t aNumber)
{
  auto digits = std::to_string(aNumber);
  return "/q/" + std::string(16 - digits.size(), '0') + digits;
}

} // namespace

SceneNodes::SceneNodes(int aNumber, int aControlNodes)
  : number_(aNumber)
  , controlNodes_(aControlNodes)
  , callersPort_(std::to_string(FreePort()))
  , internalPort_(std::to_string(FreePort()))
  , peersPort_(std::to_string(FreePort()))
  , nodes_(static_cast<std::size_t>(aControlNodes) + 1)
{
  for (int host = 1; host <= controlNodes_ + 1; ++host) {
    Start(host);
  }
}

std::string
SceneNodes::Ip(int aHost) const
{
  return "127.43." + std::to_string(number_) + "." + std::to_string(aHost);
}

std::string
SceneNodes::Address(int aHost) const
{
  return Ip(aHost) + ":" + callersPort_;
}

std::string
SceneNodes::EntryAddress() const
{
  return Address(controlNodes_ + 1);
}

std::vector<std::string>
SceneNodes::ControlAddresses() const
{
  std::vector<std::string> addresses;
  for (int host = 1; host <= controlNodes_; ++host) {
    addresses.push_back(Address(host));
  }
  return addresses;
}

void
SceneNodes::Start(int aHost)
{
  const bool isControl = aHost <= controlNodes_;
  const auto folder = folder_.Path() + "/" + std::to_string(aHost);
  std::filesystem::create_directories(folder + "/data");
  std::ofstream file(folder + ".ini");
  file << "[node]\nid = " << Ip(aHost) << "\nzone = z\nrole = "
       << (isControl ? "control\ndata_dir = " + folder + "/data" : "entry")
       << "\n[listen]\ninternal = " << Ip(aHost) << ":" << internalPort_ << "\n"
       << (isControl ? "control" : "callers") << " = " << Address(aHost) << "\n"
       << (isControl ? "peers = " + Ip(aHost) + ":" + peersPort_ : "")
       << "\n[cluster]\nbootstrap = true\ntolerated_losses = "
       << controlNodes_ / 2 << "\nseeds = ";
  for (const auto& address : ControlAddresses()) {
    file << (address == Address(1) ? "" : ",") << address;
  }
  file << "\n" << kCommonSettings;
  file.close();
  nodes_.at(static_cast<std::size_t>(aHost) - 1) =
    std::make_unique<ChildProcess>(
      DaemonProgram(),
      std::vector<std::string>{ "--workload", "--config", folder + ".ini" },
      folder);
}

bool
SceneNodes::CrashLeader()
{
  const auto output = nodes_.back()->Output();
  const auto line = output.rfind("found the leader");
  for (int host = 1; host <= controlNodes_; ++host) {
    if (line != std::string::npos &&
        output.substr(line, output.find('\n', line) - line).find(Ip(host)) !=
          std::string::npos) {
      nodes_.at(static_cast<std::size_t>(host) - 1)->Kill();
      crashed_ = host;
      return true;
    }
  }
  return false;
}

void
SceneNodes::RestoreLeader()
{
  if (crashed_ != 0) {
    Start(crashed_);
  }
}

bool
SceneNodes::AllRun()
{
  return std::all_of(nodes_.begin(), nodes_.end(), [](const auto& aNode) {
    return aNode->IsRunning();
  });
}

RestartScene::RestartScene(boost::asio::io_context& aContext,
                           AsyncClient& aClient,
                           SceneOptions aOptions,
                           int aNumber,
                           std::uint64_t aSeed)
  : context_(aContext)
  , client_(aClient)
  , options_(aOptions)
  , random_(aSeed + static_cast<std::uint64_t>(aNumber))
  , nodes_(aNumber, aOptions.leaderCrashAfter_ ? 3 : 1)
  , createdAt_(MonotonicNow())
{
}

void
RestartScene::Tick()
{
  const auto now = MonotonicNow();
  if (!isConfigured_) {
    if (!callInFlight_) {
      Configure();
    }
  } else if (!startedAt_) {
    if (HaveAllJoined()) {
      startedAt_ = now;
      PlanSteps();
    }
  } else {
    PlayDueSteps(now);
    SubmitDueJobs(now);
    for (std::size_t job = 0; job < jobs_.size(); ++job) {
      if (!jobs_[job].callInFlight_ && !jobs_[job].isCompleted_ &&
          now >= jobs_[job].nextCallAt_) {
        CallAbout(job, now);
      }
    }
  }
}

bool
RestartScene::IsOver() const
{
  const auto now = MonotonicNow();
  if (!startedAt_) {
    return now - createdAt_ > kStartTimeout;
  }
  const bool isDone = nextStep_ == steps_.size() &&
                      now - *startedAt_ > submitUntil_ && UnfinishedJobs() == 0;
  return isDone || now - *startedAt_ > kSceneTimeout;
}

SceneResult
RestartScene::Results()
{
  const auto& records = journal_.Records();
  const auto lateStarts =
    std::count_if(records.begin(), records.end(), [](const auto& aRecord) {
      return aRecord.life_ != aRecord.orderedLife_;
    });
  return { options_.name_,
           platform::standin::FindRepeatedRuns(records,
                                               startedAt_.value_or(createdAt_)),
           static_cast<std::size_t>(lateStarts),
           jobs_.size(),
           UnfinishedJobs(),
           nodes_.AllRun() };
}

std::size_t
RestartScene::UnfinishedJobs() const
{
  return static_cast<std::size_t>(
    std::count_if(jobs_.begin(), jobs_.end(), [](const auto& aJob) {
      return !aJob.isCompleted_;
    }));
}

void
RestartScene::Configure()
{
  HttpRequest request;
  request.method_ = "PUT";
  request.target_ = "/config";
  request.headers_ = { { "Host", nodes_.Address(1) },
                       { "Content-Type", "application/json" } };
  request.body_ = platform::standin::kOneQueueConfig;
  callInFlight_ = true;
  client_.Call(nodes_.Address(1),
               std::move(request),
               kCallTimeout,
               [this](const CallResult& aResult) {
                 const auto* answer = std::get_if<HttpAnswer>(&aResult);
                 callInFlight_ = false;
                 isConfigured_ = answer != nullptr && answer->status_ == kOk;
                 if (isConfigured_) {
                   AddWorkers();
                 }
               });
}

void
RestartScene::AddWorkers()
{
  for (int i = 0; i < kWorkers; ++i) {
    RestartableWorkerOptions worker;
    worker.id_ = "i-" + std::to_string(i);
    worker.address_ = nodes_.Address(kFirstWorkerHost + i);
    worker.pool_ = "s";
    worker.zone_ = i < kCrashingWorkers ? "z" : "y";
    worker.rack_ = "r" + std::to_string(i);
    workers_.push_back(std::make_unique<RestartableWorker>(
      context_, client_, worker, nodes_.ControlAddresses(), journal_));
    if (!IsOk(workers_.back()->Start())) {
      throw std::runtime_error("cannot listen on " + worker.address_);
    }
  }
}

bool
RestartScene::HaveAllJoined() const
{
  return std::all_of(workers_.begin(), workers_.end(), [](const auto& aWorker) {
    return aWorker->Renewals() > 0;
  });
}

Millis
RestartScene::PlanCrash(RestartableWorker& aWorker,
                        Millis aCrashAt,
                        const CutPlan& aCut)
{
  const auto add = [this](Millis aAt, std::function<void()> aAct) {
    steps_.push_back({ aAt, std::move(aAct) });
  };
  const auto backAt = aCrashAt + kDarkTime;
  if (options_.calls_ == CallsAtCrash::HeldBack) {
    add(aCrashAt - options_.holdBackTime_,
        [&aWorker] { aWorker.HoldBackStarts(); });
  }
  add(aCrashAt, [&aWorker] { aWorker.Crash(); });
  if (options_.calls_ == CallsAtCrash::Lost) {
    add(backAt, [&aWorker] { aWorker.LoseLateCalls(); });
  }
  const auto restart = [this, &aWorker] {
    aWorker.Restart(options_.reportDelay_);
  };
  const auto reconnect = [&aWorker] { aWorker.Reconnect(); };
  std::visit(Overloaded{
               [&](const NoCut&) { add(backAt, restart); },
               [&](const CutFromStart& aFromStart) {
                 add(backAt, [&aWorker] { aWorker.RestartCut(); });
                 add(backAt + aFromStart.duration_, reconnect);
               },
               [&](const CutAfterAnswer& aAfterAnswer) {
                 add(backAt, [&aWorker] { aWorker.CutAfterRenewal(); });
                 add(backAt, restart);
                 add(backAt + aAfterAnswer.duration_, reconnect);
               },
               [&](const CutAfter& aTimed) {
                 const auto cutAt = backAt + aTimed.time_;
                 add(backAt, restart);
                 add(cutAt, [&aWorker] { aWorker.Cut(); });
                 add(cutAt + aTimed.duration_, reconnect);
               },
             },
             aCut);
  return backAt;
}

void
RestartScene::PlanSteps()
{
  auto firstCrashAt = kCrashAt + kCrashSpread;
  for (int i = 0; i < kCrashingWorkers; ++i) {
    auto crashAt = kCrashAt + RandomTime(random_, kCrashSpread);
    firstCrashAt = std::min(firstCrashAt, crashAt);
    for (int crash = 0; crash < options_.crashes_; ++crash) {
      const auto backAt = PlanCrash(
        *workers_.at(static_cast<std::size_t>(i)),
        crashAt,
        crash + 1 < options_.crashes_ ? CutPlan(NoCut{}) : options_.cut_);
      submitUntil_ = std::max(submitUntil_, backAt + kSubmitAfterReturn);
      crashAt = backAt + kUpTime;
    }
  }
  if (options_.leaderCrashAfter_) {
    const auto crashAt = firstCrashAt + *options_.leaderCrashAfter_;
    steps_.push_back({ crashAt, [this] {
                        if (!nodes_.CrashLeader()) {
                          throw std::runtime_error("no node is known to lead");
                        }
                      } });
    steps_.push_back(
      { crashAt + kLeaderDownTime, [this] { nodes_.RestoreLeader(); } });
  }
  std::stable_sort(
    steps_.begin(), steps_.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.at_ < aRight.at_;
    });
}

void
RestartScene::PlayDueSteps(MonotonicTime aNow)
{
  while (nextStep_ < steps_.size() &&
         aNow - *startedAt_ >= steps_[nextStep_].at_) {
    steps_[nextStep_++].act_();
  }
}

void
RestartScene::SubmitDueJobs(MonotonicTime aNow)
{
  const auto since = aNow - *startedAt_;
  while (nextSubmitAt_ <= std::min(since, submitUntil_)) {
    jobs_.push_back({ JobPath(jobs_.size() + 1), false, false, false, aNow });
    nextSubmitAt_ += kMinSubmitInterval + RandomTime(random_, kSubmitSpread);
  }
}

void
RestartScene::CallAbout(std::size_t aJob, MonotonicTime aNow)
{
  const bool isQuestion = jobs_[aJob].isAccepted_;
  HttpRequest request;
  request.method_ = isQuestion ? "GET" : "POST";
  request.target_ = jobs_[aJob].path_;
  request.headers_ = { { "Host", "h" } };
  if (!isQuestion) {
    request.headers_.push_back({ "Content-Type", "application/json" });
    request.body_ = platform::standin::kLongJob;
  }
  jobs_[aJob].callInFlight_ = true;
  client_.Call(nodes_.EntryAddress(),
               std::move(request),
               kCallTimeout,
               [this, aJob, isQuestion, aNow](const CallResult& aResult) {
                 const auto* answer = std::get_if<HttpAnswer>(&aResult);
                 const bool isOk = answer != nullptr && answer->status_ == kOk;
                 auto& job = jobs_[aJob];
                 job.callInFlight_ = false;
                 job.isAccepted_ |= isOk;
                 job.isCompleted_ =
                   isOk && isQuestion &&
                   answer->body_.find("completed") != std::string::npos;
                 job.nextCallAt_ = aNow + (isQuestion ? kQuestionInterval
                                           : isOk     ? kFirstQuestion
                                                      : kCallRetry);
               });
}

std::vector<SceneResult>
PlayScenes(const std::vector<SceneOptions>& aScenes, std::uint64_t aSeed)
{
  boost::asio::io_context context(1);
  AsyncClient client(context);
  std::vector<std::unique_ptr<RestartScene>> scenes;
  scenes.reserve(aScenes.size());
  for (const auto& options : aScenes) {
    scenes.push_back(std::make_unique<RestartScene>(
      context, client, options, static_cast<int>(scenes.size()) + 1, aSeed));
  }
  const auto isOver = [](const auto& aScene) { return aScene->IsOver(); };
  while (!std::all_of(scenes.begin(), scenes.end(), isOver)) {
    context.restart();
    context.run_for(kTick);
    for (const auto& scene : scenes) {
      scene->Tick();
    }
  }
  std::vector<SceneResult> results;
  results.reserve(scenes.size());
  for (const auto& scene : scenes) {
    results.push_back(scene->Results());
  }
  return results;
}

std::uint64_t
SceneSeed()
{
  const auto* text = std::getenv("ACACIAHILL_RESTART_SEED");
  return text == nullptr ? kDefaultSeed : std::stoull(text);
}

std::string
SceneText(const SceneResult& aResult)
{
  auto text = aResult.name_ + ": " +
              std::to_string(aResult.repeatedRuns_.size()) +
              " repeated runs, " + std::to_string(aResult.lateStarts_) +
              " late starts, " + std::to_string(aResult.jobs_) + " jobs, " +
              std::to_string(aResult.unfinishedJobs_) + " unfinished\n";
  const auto lines = std::min(aResult.repeatedRuns_.size(), kShownLines);
  for (std::size_t i = 0; i < lines; ++i) {
    text += aResult.repeatedRuns_[i] + "\n";
  }
  return text;
}

} // namespace acaciahill::testing
