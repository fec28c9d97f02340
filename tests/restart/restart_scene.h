#pragma once

#include "platform/standin/restartable_worker_base.h"
#include "support/process_harness.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace acaciahill::testing {

/// The last incarnation stays reachable.
struct NoCut
{
  bool operator==(const NoCut&) const = default;
};

/// The last incarnation is cut off from its beginning.
struct CutFromStart
{
  Millis duration_{ 9000 };

  bool operator==(const CutFromStart&) const = default;
};

/// The last incarnation is cut off as soon as it has answered one renewal.
struct CutAfterAnswer
{
  Millis duration_{ 9000 };

  bool operator==(const CutAfterAnswer&) const = default;
};

/// The last incarnation is cut off at a time after its start.
struct CutAfter
{
  Millis time_{ 0 };
  Millis duration_{ 9000 };

  bool operator==(const CutAfter&) const = default;
};

using CutPlan = std::variant<NoCut, CutFromStart, CutAfterAnswer, CutAfter>;

/// What becomes of calls to a worker that is about to crash or has crashed.
enum class CallsAtCrash : std::uint8_t
{
  Late,     ///< Those after the crash reach the next incarnation.
  HeldBack, ///< Also the starts of some time before, without an answer.
  Lost,     ///< None is ever carried out.
};

/// What happens to two of the four workers of a deployment, and to its leader.
struct SceneOptions
{
  const char* name_ = "";
  CallsAtCrash calls_ = CallsAtCrash::Late;
  /// Before the crash, with CallsAtCrash::HeldBack.
  Millis holdBackTime_{ 0 };
  /// Time from the restart to the first report.
  Millis reportDelay_{ 0 };
  CutPlan cut_;
  /// How often each of the workers crashes.
  int crashes_ = 1;
  /// Time from the first crash of a worker to that of the leader, which is
  /// started again later; nothing for no such crash. There are three control
  /// nodes then, otherwise one.
  std::optional<Millis> leaderCrashAfter_;

  bool operator==(const SceneOptions&) const = default;
};

/// The processes of a deployment in workload mode, on loopback addresses of
/// their own.
class SceneNodes
{
public:
  /// Starts an entry node and control nodes on "127.43.aNumber.*".
  SceneNodes(int aNumber, int aControlNodes);

  /// An address of this deployment with the common port for callers.
  std::string Address(int aHost) const;
  std::string EntryAddress() const;
  std::vector<std::string> ControlAddresses() const;
  /// Kills the control node that leads; false when none is known to lead.
  bool CrashLeader();
  /// Starts the node of CrashLeader again.
  void RestoreLeader();
  bool AllRun();

private:
  std::string Ip(int aHost) const;
  void Start(int aHost);

  TemporaryFolder folder_;
  int number_;
  int controlNodes_;
  std::string callersPort_;
  std::string internalPort_;
  std::string peersPort_;
  int crashed_ = 0;
  /// By host number minus one; the last one is the entry node.
  std::vector<std::unique_ptr<ChildProcess>> nodes_;
};

/// What came of a scene.
struct SceneResult
{
  std::string name_;
  /// Runs that break the rule that a task runs once.
  std::vector<std::string> repeatedRuns_;
  /// Runs in an incarnation that was not up when they were ordered.
  std::size_t lateStarts_ = 0;
  std::size_t jobs_ = 0;
  std::size_t unfinishedJobs_ = 0;
  bool allNodesRun_ = false;

  bool operator==(const SceneResult&) const = default;
};

/// Jobs of one long task are submitted all along to a deployment of which two
/// workers crash and return. Driven by Tick on the context's thread.
class RestartScene
{
public:
  RestartScene(boost::asio::io_context& aContext,
               AsyncClient& aClient,
               SceneOptions aOptions,
               int aNumber,
               std::uint64_t aSeed);
  RestartScene(const RestartScene&) = delete;
  RestartScene& operator=(const RestartScene&) = delete;

  /// Does what is due. To be called every few milliseconds.
  void Tick();
  /// All jobs are completed, or the time is up.
  bool IsOver() const;

  SceneResult Results();

private:
  struct Job
  {
    std::string path_;
    bool isAccepted_ = false;
    bool isCompleted_ = false;
    bool callInFlight_ = false;
    MonotonicTime nextCallAt_{};
  };
  struct Step
  {
    Millis at_{ 0 };
    std::function<void()> act_;
  };

  void Configure();
  void AddWorkers();
  /// The course of events, in ms after the workers have joined.
  void PlanSteps();
  /// Returns when the worker is back, in ms as above.
  Millis PlanCrash(platform::standin::RestartableWorker& aWorker,
                   Millis aCrashAt,
                   const CutPlan& aCut);
  void PlayDueSteps(MonotonicTime aNow);
  void SubmitDueJobs(MonotonicTime aNow);
  void CallAbout(std::size_t aJob, MonotonicTime aNow);
  bool HaveAllJoined() const;
  std::size_t UnfinishedJobs() const;

  boost::asio::io_context& context_;
  AsyncClient& client_;
  const SceneOptions options_;
  std::mt19937_64 random_;
  SceneNodes nodes_;
  platform::standin::RunJournal journal_;
  std::vector<std::unique_ptr<platform::standin::RestartableWorker>> workers_;
  bool callInFlight_ = false;
  bool isConfigured_ = false;
  /// When all workers had joined; nothing before.
  std::optional<MonotonicTime> startedAt_;
  MonotonicTime createdAt_{};
  std::vector<Step> steps_;
  std::size_t nextStep_ = 0;
  Millis submitUntil_{ 0 };
  Millis nextSubmitAt_{ 0 };
  std::vector<Job> jobs_;
};

/// Plays scenes side by side, as they mostly wait. The results are in the same
/// order.
std::vector<SceneResult>
PlayScenes(const std::vector<SceneOptions>& aScenes, std::uint64_t aSeed);

/// The seed of the environment variable ACACIAHILL_RESTART_SEED, or 57.
std::uint64_t
SceneSeed();

/// How often a result breaks the rule, and the first lines about it.
std::string
SceneText(const SceneResult& aResult);

} // namespace acaciahill::testing
