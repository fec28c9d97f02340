#include "daemon/workload_settings_type.h"

#include "daemon/table/workload_setting_table.h"
#include "kernel/address_func.h"

#include <algorithm>

namespace acaciahill {

namespace {

std::vector<std::string>
SplitList(std::string_view aText)
{
  std::vector<std::string> items;
  while (!aText.empty()) {
    const auto comma = aText.find(',');
    if (const auto item = aText.substr(0, comma); !item.empty()) {
      items.emplace_back(item);
    }
    if (comma == std::string_view::npos) {
      break;
    }
    aText.remove_prefix(comma + 1);
  }
  return items;
}

/// Checks rules that involve several keys. Returns a description of the first
/// fault; empty when there is none.
std::string
FaultOf(const WorkloadSettings& aSettings)
{
  const auto& control = aSettings.control_;
  if (aSettings.isControl_ && control.dataDir_.empty()) {
    return "node.data_dir: missing; a control node keeps its log there";
  }
  if (aSettings.isControl_ && control.listenPeers_.empty()) {
    return "listen.peers: missing; control nodes replicate over it";
  }
  if (aSettings.seeds_.empty()) {
    return "cluster.seeds: names no address";
  }
  const auto isBad = [](const auto& aSeed) { return !IsNumericAddress(aSeed); };
  if (std::any_of(aSettings.seeds_.begin(), aSettings.seeds_.end(), isBad)) {
    return "cluster.seeds: must be numeric addresses with ports";
  }
  if (aSettings.scheduler_.maxLease_ < aSettings.scheduler_.lease_) {
    return "workload.max_lease_ms: below workload.lease_ms";
  }
  return FaultOfTiming(control.raft_);
}

} // namespace

Result<WorkloadSettings>
LoadWorkloadSettings(const std::string& aPath)
{
  const auto loaded = Settings::Load(aPath, detail::kWorkloadSettingTable);
  if (!IsOk(loaded)) {
    return ErrorOf(loaded);
  }
  const auto& settings = ValueOf(loaded);
  const auto time = [&settings](std::string_view aSection,
                                std::string_view aKey) {
    return Millis(settings.Integer(aSection, aKey));
  };

  WorkloadSettings made;
  made.isControl_ = settings.Text("node", "role") == "control";
  made.listenCallers_ = settings.Text("listen", "callers");
  made.listenReadiness_ = settings.Text("listen", "readiness");
  made.listenControl_ = settings.Text("listen", "control");
  made.listenInternal_ = settings.Text("listen", "internal");
  made.listenMetrics_ = settings.Text("listen", "metrics");
  made.internalPort_ = PortOfAddress(made.listenInternal_);
  made.seeds_ = SplitList(settings.Text("cluster", "seeds"));
  made.vmApi_ = settings.Text("platform", "vm_api");
  made.stopGrace_ = time("node", "stop_grace_ms");

  constexpr std::size_t kBytesPerKb = 1024;
  made.listenerLimits_ = {
    static_cast<std::size_t>(settings.Integer("limits", "max_connections")),
    static_cast<std::size_t>(settings.Integer("limits", "request_buffer_kb")) *
      kBytesPerKb
  };

  made.maxControlBodyBytes_ = static_cast<std::size_t>(settings.Integer(
                                "limits", "max_control_body_kb")) *
                              kBytesPerKb;

  auto& control = made.control_;
  control.peerBufferBytes_ =
    static_cast<std::size_t>(settings.Integer("limits", "peer_buffer_kb")) *
    kBytesPerKb;
  control.node_ = settings.Text("node", "id");
  control.zone_ = settings.Text("node", "zone");
  control.cluster_ = settings.Text("cluster", "name");
  control.voter_ = made.isControl_;
  control.dataDir_ = settings.Text("node", "data_dir");
  control.listenPeers_ = settings.Text("listen", "peers");
  control.advertisePeers_ = control.listenPeers_;
  control.advertiseAdmin_ = made.listenInternal_;
  control.raft_ = { time("timing", "heartbeat_ms"),
                    time("timing", "election_min_ms"),
                    time("timing", "election_max_ms") };
  control.snapshotEntries_ =
    static_cast<std::uint64_t>(settings.Integer("cluster", "snapshot_entries"));
  const auto peerPort = PortOfAddress(control.listenPeers_);
  for (const auto& seed : made.seeds_) {
    control.voters_.emplace(HostOfAddress(seed),
                            HostOfAddress(seed) + ":" + peerPort);
  }
  control.seeded_ = SeededGroup{
    peerPort,
    settings.Text("cluster", "bootstrap") == "true",
    static_cast<int>(settings.Integer("cluster", "tolerated_losses"))
  };
  const auto& name = settings.Text("node", "name");
  control.log_ = { LogLevelOf(settings.Text("log", "level")),
                   settings.Text("log", "format") == "json" ? LogFormat::Json
                                                            : LogFormat::Text,
                   settings.Text("log", "file").empty()
                     ? std::string(kLogToStdout)
                     : settings.Text("log", "file"),
                   name.empty() ? control.node_ : name };

  auto& scheduler = made.scheduler_;
  // No voter takes part in an election within the minimum election timeout by
  // its own clock, so the leader's authority ends before that. The margin
  // covers differences between clocks and timer ticks.
  constexpr Millis kElectionMargin{ 150 };
  scheduler.authority_ = control.raft_.electionMin_ - kElectionMargin;
  scheduler.movesVms_ = !made.vmApi_.empty();
  scheduler.vmCallsPerSecond_ = settings.Number("platform", "vm_calls_per_s");
  scheduler.maxVmCallsPerSecond_ =
    settings.Number("workload", "max_vm_calls_per_s");
  scheduler.lease_ = time("workload", "lease_ms");
  scheduler.maxLease_ = time("workload", "max_lease_ms");
  scheduler.maxOrderDelay_ = time("workload", "max_order_delay_ms");
  scheduler.maxStopTime_ = time("workload", "max_stop_ms");
  const auto& lookahead = settings.Text("workload", "lookahead");
  scheduler.lookahead_ = lookahead == "on"    ? Lookahead::On
                         : lookahead == "off" ? Lookahead::Off
                                              : Lookahead::WithTenants;
  scheduler.keepEnded_ =
    std::chrono::seconds(settings.Integer("workload", "keep_ended_s"));

  if (const auto fault = FaultOf(made); !fault.empty()) {
    return Error{ ErrorKind::BadSetting, aPath + ": " + fault };
  }
  return made;
}

} // namespace acaciahill
