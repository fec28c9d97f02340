#include "consensus/log_store_base.h"
#include "daemon/admin_service_base.h"
#include "daemon/announce_service_base.h"
#include "daemon/daemon_settings_type.h"
#include "daemon/directory_service_base.h"
#include "daemon/grpc_log_func.h"
#include "daemon/peer_client_base.h"
#include "daemon/planner_service_base.h"
#include "daemon/random_func.h"
#include "daemon/relay_service_base.h"
#include "daemon/replica_service_base.h"
#include "daemon/trace_service_base.h"
#include "daemon/workload_service_base.h"
#include "kernel/error_func.h"
#include "kernel/log_func.h"
#include "kernel/metrics_base.h"

#include <cxxopts.hpp>

#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>

namespace acaciahill {

namespace {

// How long --init waits for each of the other voters.
constexpr Millis kStatusTimeout{ 1000 };
// Allocations of this size or more are mapped one by one. Larger than the usual
// buffers, so that those are not mapped anew for each request.
constexpr int kMappedBytes = 256 * 1024;
// The settings file may change without a signal; it is read again this often.
constexpr std::chrono::seconds kReloadInterval{ 2 };

int
Fail(const Error& aError)
{
  std::cerr << Describe(aError) << '\n';
  return AnswerOf(aError.kind_).exitCode_;
}

/// Like Fail, once the log has been set up. Writes to the log alone: standard
/// error may be a log that nobody reads.
int
FailServing(const Error& aError)
{
  LogError("cannot serve", { { "error", Describe(aError) } });
  FlushLog();
  return AnswerOf(aError.kind_).exitCode_;
}

/// Ends the process for an exception that nothing caught. The default handler
/// writes to standard error, and a process that waits there does not end.
[[noreturn]] void
EndByException()
{
  try {
    if (const auto error = std::current_exception()) {
      std::rethrow_exception(error);
    }
    LogError("the process ends: no exception is active");
  } catch (const std::exception& error) {
    LogError("the process ends: an exception was not caught",
             { { "error", error.what() } });
  } catch (...) {
    LogError("the process ends: an exception was not caught");
  }
  FlushLog();
  std::abort();
}

/// Lets the memory of large bodies go back to the system as soon as they are
/// freed. By default the allocator stops to map blocks of a size once it has
/// freed one, and each thread's heap then keeps up to twice that size.
void
ReturnLargeBuffers()
{
  ::mallopt(M_MMAP_THRESHOLD, kMappedBytes);
}

/// Sets up the logs of a process that serves.
Result<Done>
StartServingLog(const LogSettings& aSettings)
{
  auto started = StartLog(aSettings);
  if (IsOk(started)) {
    LogGrpcMessages();
    std::set_terminate(EndByException);
  }
  return started;
}

/// The disk id of a voter's first data folder. Each voter can compute it for
/// all others, so that the first voter set needs no exchange.
std::string
GenesisDisk(const DaemonSettings& aSettings, const std::string& aNode)
{
  return "genesis-" + aSettings.cluster_ + "-" + aNode;
}

Error
ClusterHasBegun(const std::string& aVoter, const std::string& aAddress)
{
  return { ErrorKind::InvalidState,
           "voter " + aVoter + " at " + aAddress +
             " belongs to a cluster that has begun; start this voter without "
             "--init, and the others admit it" };
}

/// Fails when another voter belongs to a cluster that has already started: the
/// cluster may rely on votes and log entries that this voter lost with its data
/// folder. Voters that do not answer are skipped, as none is running at the
/// first start.
Result<Done>
CheckNoCluster(const DaemonSettings& aSettings)
{
  PeerClient client;
  for (const auto& [node, address] : aSettings.voters_) {
    if (node == aSettings.node_) {
      continue;
    }
    const auto status = client.Status(
      address, { aSettings.cluster_, std::nullopt }, kStatusTimeout);
    if (IsOk(status) && ValueOf(status) != PeerStatus{}) {
      return ClusterHasBegun(node, address);
    }
  }
  return Done{};
}

/// Creates the data folder of a voter of a new cluster.
Result<Done>
CreateFolder(const DaemonSettings& aSettings)
{
  if (!aSettings.voter_) {
    return Error{ ErrorKind::BadSetting,
                  "--init is for nodes with node.role = voter" };
  }
  if (OsFileSystem().Exists(aSettings.dataDir_ + "/disk_id")) {
    return Error{ ErrorKind::InvalidState,
                  "the data folder " + aSettings.dataDir_ +
                    " exists already; a voter that lost its disk is started "
                    "without --init, and the others admit it" };
  }
  if (const auto checked = CheckNoCluster(aSettings); !IsOk(checked)) {
    return ErrorOf(checked);
  }
  auto opened = OpenFileLog(OsFileSystem(),
                            aSettings.dataDir_,
                            GenesisDisk(aSettings, aSettings.node_));
  if (!IsOk(opened)) {
    return ErrorOf(opened);
  }
  Snapshot first;
  for (const auto& [node, address] : aSettings.voters_) {
    first.voters_.voters_.push_back({ node, GenesisDisk(aSettings, node) });
  }
  return std::get<0>(opened).store_->Save(SaveSnapshot{ first, true });
}

/// The command --init.
int
InitFolder(const DaemonSettings& aSettings)
{
  if (const auto created = CreateFolder(aSettings); !IsOk(created)) {
    return Fail(ErrorOf(created));
  }
  std::cout << "created the data folder " << aSettings.dataDir_ << " of voter "
            << aSettings.node_ << '\n';
  return 0;
}

/// Blocks the signals that WaitForStop handles. Threads inherit the mask, so
/// that no other thread receives them.
sigset_t
BlockSignals()
{
  sigset_t signals;
  ::sigemptyset(&signals);
  ::sigaddset(&signals, SIGTERM);
  ::sigaddset(&signals, SIGINT);
  ::sigaddset(&signals, SIGHUP);
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

/// Waits for SIGTERM or SIGINT. Calls the function at each SIGHUP, and at each
/// end of the interval.
void
WaitForStop(const sigset_t& aSignals,
            std::chrono::seconds aInterval,
            const std::function<void()>& aReload)
{
  const timespec interval{ aInterval.count(), 0 };
  while (true) {
    const int signal = ::sigtimedwait(&aSignals, nullptr, &interval);
    if (signal == SIGTERM || signal == SIGINT) {
      LogInfo("stopping", { { "signal", signal } });
      return;
    }
    aReload();
  }
}

int
Serve(const DaemonSettings& aSettings)
{
  ReturnLargeBuffers();
  const auto signals = BlockSignals();

  if (const auto logging = StartServingLog(aSettings.log_); !IsOk(logging)) {
    return Fail(ErrorOf(logging));
  }
  Metrics metrics;
  ServiceRegistry registry;
  // Other nodes use evidence only up to the age of the routing lease, but
  // planners may count targets as available by older evidence.
  const auto digestAge =
    2 * std::max(aSettings.routingLease_, aSettings.availableFor_);
  auto traces =
    std::make_unique<TraceService>(aSettings.traceFile_, aSettings.node_);
  auto& traceSink = *traces;
  registry.Add(kTraceServiceName, std::move(traces));
  registry.Add(kDirectoryServiceName,
               std::make_unique<DirectoryService>(
                 aSettings.node_, RandomNumber(), digestAge));
  registry.Add(kReplicaServiceName,
               std::make_unique<ReplicaService>(aSettings, registry, metrics));
  registry.Add(kAnnounceServiceName,
               std::make_unique<AnnounceService>(aSettings, registry, metrics));
  registry.Add(
    kRelayServiceName,
    std::make_unique<RelayService>(aSettings, registry, traceSink, metrics));
  registry.Add(kPlannerServiceName,
               std::make_unique<PlannerService>(aSettings, registry, metrics));
  registry.Add(kAdminServiceName,
               std::make_unique<AdminService>(aSettings, registry, metrics));

  const auto started = registry.StartAll();
  if (!IsOk(started)) {
    return FailServing(ErrorOf(started));
  }
  LogInfo("serving",
          { { "callers", aSettings.relay_.listen_ },
            { "announce", aSettings.listenAnnounce_ },
            { "admin", aSettings.listenAdmin_ },
            { "peers", aSettings.listenPeers_ } });
  WaitForStop(signals, kReloadInterval, [] {});
  // Readiness is withdrawn first, so that the load balancer sends no new
  // callers while requests in flight are finished. The admin port answers until
  // the end.
  registry.Find<AdminService>(kAdminServiceName).SetStopping();
  registry.Find<RelayService>(kRelayServiceName).Drain();
  registry.StopAll();
  LogInfo("stopped");
  FlushLog();
  return 0;
}

/// Creates the data folder of a seed at the first start of a group that forms
/// itself. A node that is not a seed, or joins later, starts without a vote and
/// is admitted by the group.
Result<Done>
CreateSeededFolder(const DaemonSettings& aSettings)
{
  const bool isFounder =
    aSettings.seeded_->isFirstStart_ &&
    aSettings.voters_.contains(aSettings.node_) &&
    !OsFileSystem().Exists(aSettings.dataDir_ + "/disk_id");
  if (!isFounder) {
    return Done{};
  }
  LogInfo("creating the data folder", { { "folder", aSettings.dataDir_ } });
  return CreateFolder(aSettings);
}

int
ServeWorkload(const WorkloadSettings& aSettings, const std::string& aPath)
{
  const auto signals = BlockSignals();
  if (const auto logging = StartServingLog(aSettings.control_.log_);
      !IsOk(logging)) {
    return Fail(ErrorOf(logging));
  }
  if (aSettings.isControl_) {
    if (const auto created = CreateSeededFolder(aSettings.control_);
        !IsOk(created)) {
      return FailServing(ErrorOf(created));
    }
  }
  Metrics metrics;
  ServiceRegistry registry;
  if (aSettings.isControl_) {
    registry.Add(kDirectoryServiceName,
                 std::make_unique<DirectoryService>(
                   aSettings.control_.node_, RandomNumber(), Millis(10000)));
    registry.Add(
      kReplicaServiceName,
      std::make_unique<ReplicaService>(aSettings.control_, registry, metrics));
  }
  auto added = std::make_unique<WorkloadService>(aSettings, registry, metrics);
  auto& workload = *added;
  registry.Add(kWorkloadServiceName, std::move(added));
  const auto started = registry.StartAll();
  if (!IsOk(started)) {
    return FailServing(ErrorOf(started));
  }
  LogInfo("serving jobs",
          { { "role", aSettings.isControl_ ? "control" : "entry" },
            { "callers", aSettings.listenCallers_ },
            { "control", aSettings.listenControl_ },
            { "seeds", aSettings.seeds_.size() } });
  auto current = aSettings;
  WaitForStop(signals, kReloadInterval, [&] {
    const auto loaded = LoadWorkloadSettings(aPath);
    if (!IsOk(loaded)) {
      LogWarning("the settings file is invalid; the previous settings stay "
                 "in force",
                 { { "error", Describe(ErrorOf(loaded)) } });
    } else if (ValueOf(loaded) != current) {
      LogInfo("settings file changed; seeds updated");
      current = ValueOf(loaded);
      workload.Reload(current);
    }
  });
  registry.StopAll();
  LogInfo("stopped");
  FlushLog();
  return 0;
}

/// Runs a function that serves, and logs the exception that ended it.
int
ServeGuarded(const std::function<int()>& aServe)
{
  try {
    return aServe();
  } catch (const std::exception& error) {
    return FailServing({ ErrorKind::Internal, error.what() });
  }
}

int
RunWorkload(const std::string& aPath, bool aCheckOnly)
{
  const auto settings = LoadWorkloadSettings(aPath);
  if (!IsOk(settings)) {
    return Fail(ErrorOf(settings));
  }
  if (aCheckOnly) {
    std::cout << aPath << ": no faults\n";
    return 0;
  }
  return ServeGuarded([&] { return ServeWorkload(ValueOf(settings), aPath); });
}

int
Run(int aCount, char** aArguments)
{
  cxxopts::Options options(
    "acaciahilld", "Fleet capacity and maintenance manager: the daemon");
  options.add_options()(
    "config", "settings file", cxxopts::value<std::string>())(
    "check-config",
    "check a settings file and exit",
    cxxopts::value<std::string>())(
    "workload", "carry jobs: the settings are those of docs/workload.md")(
    "init", "create the data folder of a voter of a new cluster and exit")(
    "help", "print this text");
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") > 0 || aCount == 1) {
    std::cout << options.help()
              << "\nExamples:\n"
                 "  acaciahilld --check-config /etc/acaciahill/entry.ini\n"
                 "  acaciahilld --init --config /etc/acaciahill/voter.ini\n"
                 "  acaciahilld --config /etc/acaciahill/entry.ini\n"
                 "  acaciahilld --workload --config "
                 "/etc/acaciahill/settings.conf\n";
    return 0;
  }
  const bool checkOnly = parsed.count("check-config") > 0;
  if (!checkOnly && parsed.count("config") == 0) {
    return Fail({ ErrorKind::BadRequest, "give --config FILE; see --help" });
  }
  const auto path =
    parsed[checkOnly ? "check-config" : "config"].as<std::string>();
  if (parsed.count("workload") > 0) {
    return RunWorkload(path, checkOnly);
  }
  const auto settings = LoadDaemonSettings(path);
  if (!IsOk(settings)) {
    return Fail(ErrorOf(settings));
  }
  if (checkOnly) {
    std::cout << path << ": no faults\n";
    return 0;
  }
  if (parsed.count("init") > 0) {
    return InitFolder(ValueOf(settings));
  }
  return ServeGuarded([&] { return Serve(ValueOf(settings)); });
}

} // namespace

} // namespace acaciahill

int
main(int aCount, char** aArguments)
{
  try {
    return acaciahill::Run(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << "acaciahilld: " << error.what() << '\n';
    return 2;
  }
}
