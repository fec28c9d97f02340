#include "daemon/admin_service_base.h"

#include "daemon/listener_metrics_func.h"
#include "kernel/error_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"
#include "state/json_func.h"
#include "state/table/column_table.h"
#include "state/table_func.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace acaciahill {

namespace {

using Json = nlohmann::json;

constexpr int kMaxThreads = 16;
constexpr std::int64_t kMaxBodyBytes = 4LL * 1024 * 1024;
constexpr Millis kCommandTimeout{ 10000 };

// Commands that operators may send; all others are internal.
constexpr std::array kOperatorCommands = {
  "set_cell",    "apply_table", "start_wave", "set_wave_phase", "remove_vm",
  "remove_node", "put_job",     "cancel_job", "set_quota",
};

ServerAnswer
JsonAnswer(const Json& aBody)
{
  ServerAnswer answer;
  answer.body_ =
    aBody.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  return answer;
}

ServerAnswer
TextAnswer(std::string aBody, const std::string& aType)
{
  ServerAnswer answer;
  answer.contentType_ = aType;
  answer.body_ = std::move(aBody);
  return answer;
}

std::optional<std::uint64_t>
QueryNumber(const ServerCall& aCall, const std::string& aKey)
{
  const auto found = aCall.query_.find(aKey);
  if (found == aCall.query_.end()) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  const auto& text = found->second;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

double
CpuSeconds()
{
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) +
           static_cast<double>(aTime.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  long long pages = 0;
  long long resident = 0;
  file >> pages >> resident;
  return static_cast<double>(resident) *
         static_cast<double>(::sysconf(_SC_PAGESIZE));
}

/// Adds the fields of an announced VM's evidence.
void
AddEvidence(Json& aJson,
            const std::optional<TargetEvidence>& aEvidence,
            MonotonicTime aNow)
{
  if (!aEvidence) {
    aJson["evidence_age_ms"] = nullptr;
    aJson["running"] = nullptr;
    return;
  }
  aJson["evidence_age_ms"] = (aNow - aEvidence->madeAt_).count();
  aJson["running"] = aEvidence->running_;
  aJson["held_epoch"] = aEvidence->epoch_;
}

/// Counts of one pool's VMs by their state.
struct PoolCounts
{
  std::int64_t vms_ = 0;
  std::int64_t available_ = 0;
  std::int64_t draining_ = 0;
  std::int64_t stopping_ = 0;
  std::int64_t lost_ = 0;
  std::int64_t unknown_ = 0;
};

void
CountVm(PoolCounts& aCounts, const VmRecord& aVm, bool aUsable)
{
  ++aCounts.vms_;
  switch (aVm.phase_) {
    case VmPhase::Active:
      ++(aUsable ? aCounts.available_ : aCounts.unknown_);
      break;
    case VmPhase::Draining:
      ++aCounts.draining_;
      break;
    case VmPhase::Stopping:
      ++aCounts.stopping_;
      break;
    case VmPhase::Lost:
      ++aCounts.lost_;
      break;
  }
}

/// Counts of all pools that have VMs, by pool name.
std::map<std::string, PoolCounts>
CountPools(const Fleet& aFleet,
           const std::map<std::uint32_t, TargetEvidence>& aEvidence,
           MonotonicTime aNow,
           Millis aLease)
{
  std::map<std::string, PoolCounts> counts;
  for (const auto& [id, vm] : aFleet.Vms()) {
    const auto vmEvidence = FindEvidence(aEvidence, vm.number_);
    CountVm(counts[vm.pool_], vm, MayRoute(vm, vmEvidence, aNow, aLease));
  }
  return counts;
}

} // namespace

AdminService::AdminService(const DaemonSettings& aSettings,
                           const ServiceRegistry& aRegistry,
                           Metrics& aMetrics)
  : settings_(aSettings)
  , registry_(aRegistry)
  , metrics_(aMetrics)
  , server_([this](const ServerCall& aCall) { return Handle(aCall); },
            kMaxThreads,
            kMaxBodyBytes,
            aSettings.listenerLimits_)
{
}

Result<Done>
AdminService::Start()
{
  replica_ = &registry_.Find<ReplicaService>(kReplicaServiceName);
  directory_ = &registry_.Find<DirectoryService>(kDirectoryServiceName);
  relay_ = &registry_.Find<RelayService>(kRelayServiceName);
  announce_ = &registry_.Find<AnnounceService>(kAnnounceServiceName);
  return server_.Start(settings_.listenAdmin_);
}

void
AdminService::Stop()
{
  server_.Stop();
}

ServerAnswer
AdminService::Handle(const ServerCall& aCall)
{
  if (aCall.method_ == "POST" && aCall.path_ == "/v1/commands") {
    return PostCommand(aCall);
  }
  if (aCall.method_ == "GET") {
    return Get(aCall);
  }
  return ServerErrorOf({ ErrorKind::BadRequest,
                         aCall.method_ + " " + aCall.path_ +
                           " is not part of the API; see docs/admin-api.md" });
}

ServerAnswer
AdminService::Get(const ServerCall& aCall)
{
  const auto& path = aCall.path_;
  if (path == "/v1/table") {
    return Table();
  }
  if (path == "/v1/table.csv") {
    return TableCsv();
  }
  if (path == "/v1/columns") {
    return Columns();
  }
  if (path == "/v1/pools") {
    return Pools();
  }
  if (path == "/v1/vms") {
    return Vms();
  }
  if (path == "/v1/nodes") {
    return Nodes();
  }
  if (path == "/v1/in-force") {
    return InForce(aCall);
  }
  if (path == "/v1/waves") {
    return Waves("");
  }
  if (path.starts_with("/v1/waves/")) {
    return Waves(path.substr(std::string("/v1/waves/").size()));
  }
  if (path.starts_with("/v1/why/")) {
    return Why(path.substr(std::string("/v1/why/").size()));
  }
  if (path == "/v1/jobs" || path == "/v1/tasks" || path == "/v1/quotas") {
    auto list = Json::array();
    replica_->Read([&](const Fleet& aFleet) {
      if (path == "/v1/jobs") {
        for (const auto& [id, job] : aFleet.Jobs()) {
          list.push_back(JobToJson(job));
        }
      } else if (path == "/v1/tasks") {
        for (const auto& [id, task] : aFleet.Tasks()) {
          list.push_back(TaskToJson(task));
        }
      } else {
        for (const auto& [team, quota] : aFleet.Quotas()) {
          list.push_back(QuotaToJson(quota));
        }
      }
    });
    return JsonAnswer(list);
  }
  if (path == "/metrics") {
    return PrintMetrics();
  }
  if (path == "/healthz") {
    return TextAnswer("ok\n", "text/plain");
  }
  if (path == "/readyz") {
    return Ready();
  }
  return ServerErrorOf(
    { ErrorKind::BadRequest, path + " is not part of the API" });
}

ServerAnswer
AdminService::Table() const
{
  const bool stale = replica_->Control().stale_;
  return replica_->Read([stale](const Fleet& aFleet) {
    auto rows = Json::array();
    for (const auto& [pool, row] : aFleet.Table().rows_) {
      rows.push_back(RowToJson(row));
    }
    return JsonAnswer({ { "version", aFleet.Table().version_ },
                        { "stale", stale },
                        { "rows", rows } });
  });
}

ServerAnswer
AdminService::TableCsv() const
{
  return replica_->Read([](const Fleet& aFleet) {
    auto answer = TextAnswer(TableToCsv(aFleet.Table()), "text/csv");
    answer.headers_.emplace_back("Acaciahill-Table-Version",
                                 std::to_string(aFleet.Table().version_));
    return answer;
  });
}

ServerAnswer
AdminService::Columns() const
{
  auto list = Json::array();
  const PoolRow defaults;
  for (const auto& column : kColumnTable) {
    list.push_back({ { "name", column.name_ },
                     { "min", column.smallest_ },
                     { "max", column.largest_ },
                     { "default", CellText(defaults, column.name_) },
                     { "help", column.help_ } });
  }
  return JsonAnswer(list);
}

ServerAnswer
AdminService::Pools() const
{
  const auto now = MonotonicNow();
  const auto evidence = directory_->Targets();
  const auto nodes = directory_->Nodes();
  auto list = Json::array();
  replica_->Read([&](const Fleet& aFleet) {
    auto counts = CountPools(aFleet, evidence, now, settings_.routingLease_);
    for (const auto& [pool, row] : aFleet.Table().rows_) {
      const auto& count = counts[pool];
      std::int64_t inFlight = 0;
      std::int64_t queued = 0;
      for (const auto& [node, status] : nodes) {
        const auto load = status.loads_.find(pool);
        if (load != status.loads_.end() &&
            now - status.madeAt_ <= settings_.routingLease_) {
          inFlight += load->second.inFlight_;
          queued += load->second.queued_;
        }
      }
      list.push_back({ { "pool", pool },
                       { "size", row.size_ },
                       { "vms", count.vms_ },
                       { "available", count.available_ },
                       { "draining", count.draining_ },
                       { "stopping", count.stopping_ },
                       { "lost", count.lost_ },
                       { "unknown", count.unknown_ },
                       { "min_available", row.minAvailable_ },
                       { "max_unavailable", row.maxUnavailable_ },
                       { "headroom", count.available_ - row.minAvailable_ },
                       { "in_flight", inFlight },
                       { "queued", queued } });
    }
  });
  return JsonAnswer(list);
}

ServerAnswer
AdminService::Vms() const
{
  const auto now = MonotonicNow();
  const auto evidence = directory_->Targets();
  auto list = Json::array();
  replica_->Read([&](const Fleet& aFleet) {
    for (const auto& [id, vm] : aFleet.Vms()) {
      const auto vmEvidence = FindEvidence(evidence, vm.number_);
      Json json = {
        { "id", id },
        { "pool", vm.pool_ },
        { "phase", WordOf(vm.phase_) },
        { "epoch", vm.epoch_ },
        { "incarnation", vm.identity_.incarnation_ },
        { "zone", vm.identity_.zone_ },
        { "rack", vm.identity_.rack_ },
        { "address", vm.identity_.address_ },
        { "slots", vm.identity_.slots_ },
        { "move_to", vm.moveTo_ },
        { "permit", vm.permit_ },
        { "usable", MayRoute(vm, vmEvidence, now, settings_.routingLease_) }
      };
      AddEvidence(json, vmEvidence, now);
      list.push_back(std::move(json));
    }
  });
  return JsonAnswer(list);
}

ServerAnswer
AdminService::Nodes() const
{
  const auto now = MonotonicNow();
  const auto control = replica_->Control();
  const auto statuses = directory_->Nodes();
  auto list = Json::array();
  replica_->Read([&](const Fleet& aFleet) {
    for (const auto& [id, node] : aFleet.Nodes()) {
      Json json = { { "id", id },
                    { "zone", node.zone_ },
                    { "voter", node.voter_ },
                    { "peer_address", node.peerAddress_ },
                    { "admin_address", node.adminAddress_ },
                    { "applied", nullptr },
                    { "table_version", nullptr },
                    { "age_ms", nullptr } };
      const auto status = statuses.find(id);
      if (status != statuses.end()) {
        json["applied"] = status->second.appliedIndex_;
        json["table_version"] = status->second.tableVersion_;
        json["age_ms"] = (now - status->second.madeAt_).count();
      }
      list.push_back(std::move(json));
    }
  });
  auto voters = Json::array();
  for (const auto& voter : control.voters_) {
    voters.push_back({ { "node", voter.node_ }, { "disk", voter.disk_ } });
  }
  return JsonAnswer({ { "self", settings_.node_ },
                      { "leader", control.leader_ },
                      { "stale", control.stale_ },
                      { "control_age_ms", control.age_.count() },
                      { "commit_index", control.commitIndex_ },
                      { "voters", voters },
                      { "nodes", list } });
}

ServerAnswer
AdminService::InForce(const ServerCall& aCall) const
{
  const auto version = QueryNumber(aCall, "version");
  const auto index = QueryNumber(aCall, "index");
  if (!version && !index) {
    return ServerErrorOf(
      { ErrorKind::BadRequest, "give version=NUMBER or index=NUMBER" });
  }
  const auto statuses = directory_->Nodes();
  auto behind = Json::array();
  std::size_t all = 0;
  replica_->Read([&](const Fleet& aFleet) {
    all = aFleet.Nodes().size();
    for (const auto& [id, node] : aFleet.Nodes()) {
      const auto status = statuses.find(id);
      const bool isCurrent =
        status != statuses.end() &&
        (!version || status->second.tableVersion_ >= *version) &&
        (!index || status->second.appliedIndex_ >= *index);
      if (!isCurrent) {
        behind.push_back(id);
      }
    }
  });
  Json body = { { "on", all - behind.size() },
                { "of", all },
                { "behind", behind } };
  if (version) {
    body["version"] = *version;
  }
  if (index) {
    body["index"] = *index;
  }
  return JsonAnswer(body);
}

ServerAnswer
AdminService::Waves(const std::string& aWave) const
{
  auto list = Json::array();
  replica_->Read([&](const Fleet& aFleet) {
    for (const auto& [id, wave] : aFleet.Waves()) {
      if (!aWave.empty() && aWave != id) {
        continue;
      }
      auto json = WaveToJson(wave);
      json["pending"] = wave.pendingVms_;
      json["done"] = wave.doneVms_;
      auto permits = Json::array();
      for (const auto& [permitId, permit] : aFleet.Permits()) {
        if (permit.wave_ == id) {
          permits.push_back(PermitToJson(permit));
        }
      }
      json["permits"] = permits;
      list.push_back(std::move(json));
    }
  });
  if (aWave.empty()) {
    return JsonAnswer(list);
  }
  if (list.empty()) {
    return ServerErrorOf({ ErrorKind::UnknownWave, aWave });
  }
  return JsonAnswer(list.front());
}

ServerAnswer
AdminService::Why(const std::string& aSubject) const
{
  auto list = Json::array();
  replica_->Read([&](const Fleet& aFleet) {
    for (const auto& decision : aFleet.DecisionsOn(aSubject)) {
      list.push_back(DecisionToJson(decision));
    }
  });
  return JsonAnswer(list);
}

ServerAnswer
AdminService::Ready() const
{
  std::string reason;
  if (stopping_) {
    reason = "stopping";
  } else if (!replica_->Control().caughtUp_ &&
             replica_->Read([](const Fleet& aFleet) {
               return aFleet.Table().rows_.empty();
             })) {
    reason = "this node has no state yet";
  }
  if (reason.empty()) {
    return TextAnswer("ready\n", "text/plain");
  }
  auto answer = TextAnswer(reason + "\n", "text/plain");
  answer.status_ = 503;
  return answer;
}

ServerAnswer
AdminService::PrintMetrics()
{
  const auto control = replica_->Control();
  SetListenerMetrics(metrics_, "admin", server_.Counts());
  SetListenerMetrics(metrics_, "announce", announce_->Connections());
  metrics_.Set("acaciahill_process_cpu_seconds", {}, CpuSeconds());
  metrics_.Set("acaciahill_process_resident_bytes", {}, ResidentBytes());
  metrics_.Set("acaciahill_log_dropped_lines",
               {},
               static_cast<double>(CountDroppedLogLines()));
  metrics_.Set("acaciahill_is_leader", {}, control.isLeader_ ? 1 : 0);
  metrics_.Set("acaciahill_is_stale", {}, control.stale_ ? 1 : 0);
  const auto evidence = directory_->Targets();
  metrics_.ForgetGauges("acaciahill_pool_headroom");
  replica_->Read([&](const Fleet& aFleet) {
    auto counts =
      CountPools(aFleet, evidence, MonotonicNow(), settings_.routingLease_);
    for (const auto& [pool, row] : aFleet.Table().rows_) {
      metrics_.Set(
        "acaciahill_pool_headroom",
        { { "pool", pool } },
        static_cast<double>(counts[pool].available_ - row.minAvailable_));
    }
    metrics_.Set("acaciahill_applied_index",
                 {},
                 static_cast<double>(aFleet.AppliedIndex()));
    metrics_.Set("acaciahill_table_version",
                 {},
                 static_cast<double>(aFleet.Table().version_));
    metrics_.Set(
      "acaciahill_moves", {}, static_cast<double>(aFleet.MoveCount()));
    // Replicas that do not hold the claims do not know their number.
    if (aFleet.HoldsClaims()) {
      metrics_.Set(
        "acaciahill_claims", {}, static_cast<double>(aFleet.Claims().size()));
    }
  });
  return TextAnswer(metrics_.PrometheusText(),
                    "text/plain; version=0.0.4; charset=utf-8");
}

ServerAnswer
AdminService::PostCommand(const ServerCall& aCall)
{
  auto json = Json::parse(aCall.body_, nullptr, false);
  if (!json.is_object()) {
    return ServerErrorOf(
      { ErrorKind::BadRequest, "the body is not a JSON object" });
  }
  const auto requestId = json.find("request_id");
  if (requestId == json.end() || !requestId->is_string() ||
      requestId->get<std::string>().empty()) {
    return ServerErrorOf(
      { ErrorKind::BadRequest, "request_id is missing; make one per change" });
  }
  const auto id = requestId->get<std::string>();
  json.erase("request_id");
  const auto type = json.find("type");
  const bool isAllowed =
    type != json.end() && type->is_string() &&
    std::find(kOperatorCommands.begin(),
              kOperatorCommands.end(),
              type->get<std::string>()) != kOperatorCommands.end();
  if (!isAllowed) {
    return ServerErrorOf(
      { ErrorKind::BadRequest, "type is not a command for operators" });
  }
  if (const auto csv = json.find("csv"); csv != json.end()) {
    if (!csv->is_string()) {
      return ServerErrorOf({ ErrorKind::BadRequest, "csv is not a text" });
    }
    const auto table =
      replica_->Read([](const Fleet& aFleet) { return aFleet.Table(); });
    const auto rows = RowsFromCsv(csv->get<std::string>(), table);
    if (!IsOk(rows)) {
      return ServerErrorOf(ErrorOf(rows));
    }
    json.erase("csv");
    json["rows"] = Json::array();
    for (const auto& row : ValueOf(rows)) {
      json["rows"].push_back(RowToJson(row));
    }
  }
  const auto command = CommandFromJson(json);
  if (!IsOk(command)) {
    return ServerErrorOf(ErrorOf(command));
  }
  // The prefix keeps operators' request ids apart from the nodes' own.
  const auto result =
    replica_->Propose(ValueOf(command), "op-" + id, kCommandTimeout);
  if (result.error_) {
    auto answer = ServerErrorOf(*result.error_);
    auto body = Json::parse(answer.body_);
    body["table_version"] = result.tableVersion_;
    answer.body_ = body.dump();
    return answer;
  }
  return JsonAnswer({ { "table_version", result.tableVersion_ },
                      { "index", result.index_ },
                      { "text", result.text_ } });
}

} // namespace acaciahill
