#include "daemon/announce_service_base.h"

#include "kernel/error_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"
#include "kernel/settings_base.h"

#include <nlohmann/json.hpp>

namespace acaciahill {

namespace {

constexpr int kMaxThreads = 32;
constexpr std::int64_t kMaxBodyBytes = 256LL * 1024;
constexpr Millis kRegisterTimeout{ 3000 };
// Announcement interval of a target during kFastPeriod after it reported an
// outdated epoch, and while it drains.
constexpr Millis kFastInterval{ 500 };
constexpr Millis kFastPeriod{ 10000 };
// Number of targets per node at the configured interval; each further group of
// this size lengthens the interval by itself.
constexpr std::size_t kTargetsPerInterval = 40;
constexpr Millis kMaxInterval{ 20000 };
// Targets count for the interval for this time after an announcement.
constexpr Millis kHeardPeriod{ 60000 };
constexpr std::size_t kMaxTasks = 1000;

using Json = nlohmann::json;

/// Reads an optional field of an object. A field of another type throws
/// Json::exception, which ParseAnnouncement turns into BadRequest.
template<typename T>
T
Field(const Json& aObject, const char* aName, T aDefault)
{
  const auto found = aObject.find(aName);
  return found == aObject.end() ? aDefault : found->get<T>();
}

/// Reads a required string; throws like Field.
std::string
RequiredString(const Json& aObject, const char* aName)
{
  return aObject.at(aName).get<std::string>();
}

std::uint64_t
UnsignedField(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return 0;
  }
  if (!found->is_number_unsigned()) {
    throw std::invalid_argument(std::string(aName) +
                                " is not a whole number of at least 0");
  }
  return found->get<std::uint64_t>();
}

TaskReport
ReadTask(const Json& aTask)
{
  TaskReport report;
  report.task_ = RequiredString(aTask, "id");
  report.state_ = RequiredString(aTask, "state");
  report.lease_ = UnsignedField(aTask, "lease");
  if (const auto usage = aTask.find("usage"); usage != aTask.end()) {
    report.milliCores_ =
      static_cast<std::int64_t>(Field(*usage, "cores", 0.0) * 1000);
    report.memoryMb_ = Field<std::int64_t>(*usage, "memory_mb", 0);
    report.usageAge_ = Millis(UnsignedField(*usage, "age_ms"));
  }
  return report;
}

/// Returns the first fault of an identity, for the error detail; empty when it
/// is valid.
std::string
ValidateIdentity(const VmIdentity& aIdentity)
{
  constexpr std::size_t kMaxIdChars = 128;
  if (aIdentity.id_.empty() || aIdentity.id_.size() > kMaxIdChars) {
    return "id must have 1 to 128 characters";
  }
  for (const char c : aIdentity.id_) {
    if (c <= ' ' || c == '/' || c == '"' || c > '~') {
      return "id may hold printable ASCII without space, '/' and '\"'";
    }
  }
  if (aIdentity.zone_.empty()) {
    return "zone is missing";
  }
  if (aIdentity.slots_ < 1) {
    return "slots must be at least 1";
  }
  if (!IsNumericAddress(aIdentity.address_)) {
    return "address '" + aIdentity.address_ +
           "' is not a numeric address and port";
  }
  return "";
}

} // namespace

Result<Announcement>
ParseAnnouncement(const std::string& aBody)
{
  try {
    const auto json = Json::parse(aBody);
    Announcement made;
    made.identity_ = { RequiredString(json, "id"),
                       UnsignedField(json, "incarnation"),
                       RequiredString(json, "zone"),
                       Field<std::string>(json, "rack", ""),
                       RequiredString(json, "address"),
                       Field<std::int64_t>(json, "cores", 0),
                       Field<std::int64_t>(json, "memory_mb", 0),
                       Field<std::int64_t>(json, "slots", 1),
                       Field<std::int64_t>(json, "connections", 64) };
    made.epoch_ = UnsignedField(json, "epoch");
    made.draining_ = Field(json, "draining", false);
    made.running_ = static_cast<std::uint32_t>(UnsignedField(json, "running"));
    if (const auto tasks = json.find("tasks"); tasks != json.end()) {
      if (tasks->size() > kMaxTasks) {
        return Error{ ErrorKind::BadRequest, "more than 1000 tasks" };
      }
      for (const auto& task : *tasks) {
        made.tasks_.push_back(ReadTask(task));
      }
    }
    if (const auto fault = ValidateIdentity(made.identity_); !fault.empty()) {
      return Error{ ErrorKind::BadRequest, fault };
    }
    return made;
  } catch (const std::exception& error) {
    return Error{ ErrorKind::BadRequest, error.what() };
  }
}

AnnounceService::AnnounceService(const DaemonSettings& aSettings,
                                 const ServiceRegistry& aRegistry,
                                 Metrics& aMetrics)
  : settings_(aSettings)
  , registry_(aRegistry)
  , metrics_(aMetrics)
  , meter_(aMetrics)
  , server_(
      [this](const ServerCall& aCall) {
        auto answer = Handle(aCall);
        meter_.Count("announce", answer.body_.size(), aCall.body_.size());
        return answer;
      },
      kMaxThreads,
      kMaxBodyBytes,
      aSettings.listenerLimits_)
{
}

Result<Done>
AnnounceService::Start()
{
  replica_ = &registry_.Find<ReplicaService>(kReplicaServiceName);
  directory_ = &registry_.Find<DirectoryService>(kDirectoryServiceName);
  return server_.Start(settings_.listenAnnounce_);
}

void
AnnounceService::Stop()
{
  server_.Stop();
}

ServerAnswer
AnnounceService::Handle(const ServerCall& aCall)
{
  if (aCall.method_ != "POST" || aCall.path_ != "/v1/announce") {
    return ServerErrorOf(
      { ErrorKind::BadRequest, "this port takes POST /v1/announce" });
  }
  const auto madeAt = MonotonicNow() - Millis(aCall.waitedMs_);
  const auto announcement = ParseAnnouncement(aCall.body_);
  if (!IsOk(announcement)) {
    metrics_.Count("acaciahill_announcements_refused_total", {});
    return ServerErrorOf(ErrorOf(announcement));
  }
  metrics_.Count("acaciahill_announcements_total", {});
  return Accept(ValueOf(announcement), madeAt);
}

ServerAnswer
AnnounceService::Accept(const Announcement& aAnnouncement,
                        MonotonicTime aMadeAt)
{
  const auto find = [&] {
    return replica_->Read([&](const Fleet& aFleet) -> std::optional<VmRecord> {
      const auto found = aFleet.Vms().find(aAnnouncement.identity_.id_);
      if (found == aFleet.Vms().end()) {
        return std::nullopt;
      }
      return found->second;
    });
  };
  auto vm = find();
  if (!vm || vm->identity_ != aAnnouncement.identity_) {
    const auto registered = Register(aAnnouncement);
    if (!IsOk(registered)) {
      return ServerErrorOf(ErrorOf(registered));
    }
    vm = find();
    if (!vm) {
      return ServerErrorOf({ ErrorKind::ControlUnreachable, "" });
    }
  }
  // The epoch is recorded as announced: a target that has just booted has no
  // assignment yet and reports epoch 0, and it cannot report an epoch that was
  // never assigned.
  directory_->UpdateTarget({ vm->number_,
                             aAnnouncement.identity_.incarnation_,
                             aAnnouncement.epoch_,
                             aAnnouncement.draining_,
                             aAnnouncement.running_,
                             aMadeAt });
  directory_->UpdateTasks({ vm->number_,
                            aAnnouncement.identity_.incarnation_,
                            aAnnouncement.tasks_,
                            aMadeAt });
  {
    const std::lock_guard lock(mutex_);
    lastHeardAt_[aAnnouncement.identity_.id_] = MonotonicNow();
    if (aAnnouncement.epoch_ != vm->epoch_) {
      changedAt_[aAnnouncement.identity_.id_] = MonotonicNow();
    }
  }
  return AssignmentOf(*vm);
}

Result<Done>
AnnounceService::Register(const Announcement& aAnnouncement)
{
  const auto result =
    replica_->Propose(AnnounceVm{ aAnnouncement.identity_ }, kRegisterTimeout);
  if (result.error_) {
    LogWarning("cannot register an announced VM",
               { { "vm", aAnnouncement.identity_.id_ },
                 { "incarnation", aAnnouncement.identity_.incarnation_ },
                 { "error", Describe(*result.error_) } });
    return *result.error_;
  }
  // The reply must be based on a state that contains the registration.
  replica_->WaitApplied(result.index_, kRegisterTimeout);
  return Done{};
}

ServerAnswer
AnnounceService::AssignmentOf(const VmRecord& aVm)
{
  const auto logicalNow = replica_->LogicalNowMs();
  auto tasks = Json::array();
  replica_->Read([&](const Fleet& aFleet) {
    for (const auto& id : aFleet.TasksOn(aVm.identity_.id_)) {
      const auto& task = aFleet.Tasks().at(id);
      const auto job = aFleet.Jobs().find(task.job_);
      const auto left =
        task.leaseUntilMs_ > logicalNow ? task.leaseUntilMs_ - logicalNow : 0;
      Json order = { { "id", id },
                     { "lease", task.lease_ },
                     { "lease_ms", left } };
      switch (task.phase_) {
        case TaskPhase::Placed:
        case TaskPhase::Running:
          order["order"] = "run";
          break;
        case TaskPhase::Throttled:
          order["order"] = "throttle";
          break;
        case TaskPhase::Stopping:
          order["order"] = "checkpoint";
          break;
        case TaskPhase::Waiting:
        case TaskPhase::Completed:
        case TaskPhase::Failed:
          continue;
      }
      if (job != aFleet.Jobs().end()) {
        order["cores"] = static_cast<double>(job->second.milliCores_) / 1000;
        order["memory_mb"] = job->second.memoryMb_;
        order["slots"] = job->second.slots_;
      }
      tasks.push_back(order);
    }
  });
  const Json body = {
    { "pool", aVm.pool_ },
    { "epoch", aVm.epoch_ },
    { "drain", aVm.phase_ != VmPhase::Active },
    { "tasks", tasks },
    { "next_ms", NextInterval(aVm).count() },
  };
  ServerAnswer answer;
  answer.body_ = body.dump();
  return answer;
}

Millis
AnnounceService::NextInterval(const VmRecord& aVm)
{
  const auto now = MonotonicNow();
  const std::lock_guard lock(mutex_);
  const auto changed = changedAt_.find(aVm.identity_.id_);
  if (aVm.phase_ != VmPhase::Active ||
      (changed != changedAt_.end() && now - changed->second < kFastPeriod)) {
    return std::min(kFastInterval, settings_.announceInterval_);
  }
  std::erase_if(lastHeardAt_, [now](const auto& aItem) {
    return now - aItem.second > kHeardPeriod;
  });
  const auto groups = static_cast<std::int64_t>(
    (lastHeardAt_.size() + kTargetsPerInterval - 1) / kTargetsPerInterval);
  return std::min(std::max(std::int64_t(1), groups) *
                    settings_.announceInterval_,
                  std::max(kMaxInterval, settings_.announceInterval_));
}

} // namespace acaciahill
