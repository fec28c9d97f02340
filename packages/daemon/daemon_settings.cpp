#include "daemon/daemon_settings_type.h"

#include "daemon/table/setting_table.h"

namespace acaciahill {

namespace {

std::map<std::string, std::string>
ParseVoters(std::string_view aText)
{
  std::map<std::string, std::string> voters;
  while (!aText.empty()) {
    const auto comma = aText.find(',');
    const auto item = aText.substr(0, comma);
    const auto at = item.find('@');
    voters.emplace(item.substr(0, at), item.substr(at + 1));
    if (comma == std::string_view::npos) {
      break;
    }
    aText.remove_prefix(comma + 1);
  }
  return voters;
}

/// Reads values of one section.
class Section
{
public:
  Section(const Settings& aSettings, std::string_view aName)
    : settings_(aSettings)
    , name_(aName)
  {
  }

  const std::string& Text(std::string_view aKey) const
  {
    return settings_.Text(name_, aKey);
  }

  std::int64_t Integer(std::string_view aKey) const
  {
    return settings_.Integer(name_, aKey);
  }

  Millis Time(std::string_view aKey) const { return Millis(Integer(aKey)); }

private:
  const Settings& settings_;
  std::string_view name_;
};

RelaySettings
MakeRelaySettings(const Settings& aSettings)
{
  const Section relay(aSettings, "relay");
  RelaySettings made;
  made.listen_ = aSettings.Text("listen", "callers");
  made.maxConnections_ = relay.Integer("max_connections");
  made.maxHeaderBytes_ = relay.Integer("max_header_bytes");
  made.maxRequestBytes_ = relay.Integer("max_request_bytes");
  made.maxAnswerBytes_ = relay.Integer("max_answer_bytes");
  made.maxBufferedBytes_ = relay.Integer("max_buffered_bytes");
  made.idleTimeout_ = relay.Time("idle_timeout_ms");
  made.readTimeout_ = relay.Time("read_timeout_ms");
  made.connectTimeout_ = relay.Time("connect_timeout_ms");
  made.maxDeadline_ = relay.Time("max_deadline_ms");
  made.zone_ = aSettings.Text("node", "zone");
  made.node_ = aSettings.Text("node", "id");
  return made;
}

std::string
OrElse(const std::string& aText, const std::string& aOther)
{
  return aText.empty() ? aOther : aText;
}

/// Checks rules that involve several keys. Returns a description of the first
/// fault; empty when there is none.
std::string
FaultOf(const DaemonSettings& aSettings)
{
  if (aSettings.voter_ && aSettings.dataDir_.empty()) {
    return "node.data_dir: missing; a voter keeps its log there";
  }
  if (aSettings.voter_ && !aSettings.voters_.contains(aSettings.node_)) {
    return "cluster.voters: does not list this node " + aSettings.node_ +
           ", whose role is voter";
  }
  if (!aSettings.voter_ && aSettings.voters_.contains(aSettings.node_)) {
    return "node.role: this node is listed in cluster.voters but its role is "
           "entry";
  }
  if (auto fault = FaultOfTiming(aSettings.raft_); !fault.empty()) {
    return fault;
  }
  if (aSettings.routingLease_ < 2 * aSettings.announceInterval_) {
    // One lost announcement must not let the evidence of a healthy target
    // expire.
    return "timing.routing_lease_ms: must be at least twice timing.announce_ms";
  }
  return "";
}

} // namespace

std::string
FaultOfTiming(const RaftTiming& aTiming)
{
  if (aTiming.electionMin_ < 3 * aTiming.heartbeat_) {
    // One lost heartbeat must not start an election.
    return "timing.election_min_ms: must be at least 3 times "
           "timing.heartbeat_ms";
  }
  if (aTiming.electionMax_ <= aTiming.electionMin_) {
    return "timing.election_max_ms: must be over timing.election_min_ms";
  }
  return "";
}

Result<DaemonSettings>
LoadDaemonSettings(const std::string& aPath)
{
  const auto loaded = Settings::Load(aPath, detail::kSettingTable);
  if (!IsOk(loaded)) {
    return ErrorOf(loaded);
  }
  const auto& settings = ValueOf(loaded);
  const Section node(settings, "node");
  const Section listen(settings, "listen");
  const Section cluster(settings, "cluster");
  const Section timing(settings, "timing");
  const Section log(settings, "log");

  DaemonSettings made;
  made.node_ = node.Text("id");
  made.zone_ = node.Text("zone");
  made.cluster_ = cluster.Text("name");
  made.voter_ = node.Text("role") == "voter";
  made.dataDir_ = node.Text("data_dir");
  made.stopGrace_ = node.Time("stop_grace_ms");
  made.listenAnnounce_ = listen.Text("announce");
  made.listenAdmin_ = listen.Text("admin");
  made.listenPeers_ = listen.Text("peers");
  made.advertisePeers_ =
    OrElse(cluster.Text("advertise_peers"), made.listenPeers_);
  made.advertiseAdmin_ =
    OrElse(cluster.Text("advertise_admin"), made.listenAdmin_);
  made.voters_ = ParseVoters(cluster.Text("voters"));
  made.raft_ = { timing.Time("heartbeat_ms"),
                 timing.Time("election_min_ms"),
                 timing.Time("election_max_ms") };
  made.announceInterval_ = timing.Time("announce_ms");
  made.routingLease_ = timing.Time("routing_lease_ms");
  made.lostAfter_ = timing.Time("lost_after_ms");
  made.availableFor_ = timing.Time("availability_ms");
  made.snapshotEntries_ =
    static_cast<std::uint64_t>(cluster.Integer("snapshot_entries"));
  constexpr std::size_t kBytesPerKb = 1024;
  made.listenerLimits_ = {
    static_cast<std::size_t>(settings.Integer("limits", "max_connections")),
    static_cast<std::size_t>(settings.Integer("limits", "request_buffer_kb")) *
      kBytesPerKb
  };
  made.peerBufferBytes_ =
    static_cast<std::size_t>(cluster.Integer("peer_buffer_kb")) * kBytesPerKb;
  made.platformUrl_ = settings.Text("platform", "url");
  made.traceFile_ = settings.Text("trace", "file");
  made.log_ = { LogLevelOf(log.Text("level")),
                log.Text("format") == "json" ? LogFormat::Json
                                             : LogFormat::Text,
                log.Text("file"),
                made.node_ };
  made.relay_ = MakeRelaySettings(settings);
  if (const auto fault = FaultOf(made); !fault.empty()) {
    return Error{ ErrorKind::BadSetting, aPath + ": " + fault };
  }
  return made;
}

} // namespace acaciahill
