#include "daemon/replica_reader_base.h"

#include "platform/platform_config_func.h"
#include "platform/platform_requests_func.h"

namespace acaciahill {

ReplicaReader::ReplicaReader(const ReplicaService& aReplica, Millis aMaxAge)
  : replica_(aReplica)
  , maxAge_(aMaxAge)
{
}

bool
ReplicaReader::IsFresh() const
{
  const auto control = replica_.Control();
  return control.holdsCommitted_ && control.age_ <= maxAge_;
}

void
ReplicaReader::RefreshConfig()
{
  const auto document = replica_.Read([this](const Fleet& aFleet) {
    const auto& config = aFleet.GetWorkload().Config();
    return config.version_ > config_.version_ ? config : ConfigDocument{};
  });
  if (document.version_ > config_.version_) {
    if (auto config = platform::DecodeConfig(document.text_); IsOk(config)) {
      config_ = ValueOf(std::move(config));
    }
  }
}

std::optional<HttpAnswer>
ReplicaReader::AnswerCaller(const HttpRequest& aRequest)
{
  if (aRequest.method_ != "GET" || !IsFresh()) {
    return std::nullopt;
  }
  RefreshConfig();
  const auto call = platform::DecodeCallerCall(aRequest, config_);
  const auto* asked = std::get_if<platform::StateCall>(&call);
  if (asked == nullptr) {
    return std::nullopt;
  }
  return replica_.Read([asked](const Fleet& aFleet) {
    const auto* job = aFleet.GetWorkload().FindJob(asked->job_);
    return job != nullptr && IsVisibleTo(*job, asked->queue_, asked->tenant_)
             ? std::optional(platform::EncodeJobState(job->phase_))
             : std::nullopt;
  });
}

std::optional<HttpAnswer>
ReplicaReader::AnswerControl(const HttpRequest& aRequest) const
{
  if (aRequest.method_ != "PUT" || !IsFresh()) {
    return std::nullopt;
  }
  const auto call = platform::DecodeControlCall(aRequest);
  const auto* report = std::get_if<platform::ReportCall>(&call);
  if (report == nullptr) {
    return std::nullopt;
  }
  const bool isKnown = replica_.Read([report](const Fleet& aFleet) {
    return IsKnownReport(aFleet.GetWorkload(), report->report_);
  });
  return isKnown ? std::optional(
                     platform::EncodeOutcome(RequestOutcome::Accepted, {}))
                 : std::nullopt;
}

bool
IsKnownReport(const Workload& aState, const WorkerReport& aReport)
{
  const auto* known = aState.FindWorkerById(aReport.worker_.id_);
  // Reports of a draining worker go to the leader: a new leader learns from
  // them when the worker leaves.
  if (known == nullptr || aReport.worker_.draining_) {
    return false;
  }
  // These are assigned by the leader and are not in reports.
  auto reported = aReport.worker_;
  reported.number_ = known->number_;
  reported.notedEnds_ = known->notedEnds_;
  reported.boundUntilMs_ = known->boundUntilMs_;
  reported.returnedAtMs_ = known->returnedAtMs_;
  return reported == *known;
}

} // namespace acaciahill
