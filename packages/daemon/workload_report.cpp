#include "daemon/workload_host_base.h"

#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"

#include <algorithm>
#include <functional>

// What the leader reports of its load.

namespace acaciahill {

namespace {

constexpr Millis kLoadReportInterval{ 2000 };

} // namespace

// The delay of the tick timer shows how long requests and answers wait for this
// thread.
void
WorkloadHost::ReportLoad()
{
  const auto now = MonotonicNow();
  const auto lag = tickDueAt_ == MonotonicTime{} ? Millis(0) : now - tickDueAt_;
  longestLag_ = std::max(longestLag_, lag);
  if (now - loadReportedAt_ < kLoadReportInterval) {
    return;
  }
  metrics_.Set("acaciahill_leader_lag_seconds",
               {},
               std::chrono::duration<double>(longestLag_).count());
  metrics_.Set("acaciahill_examined_workers",
               {},
               static_cast<double>(scheduler_->ExaminedWorkers()));
  metrics_.Set("acaciahill_unexplained_fences",
               {},
               static_cast<double>(scheduler_->UnexplainedFences()));
  metrics_.Set("acaciahill_refused_jobs",
               {},
               static_cast<double>(scheduler_->CountRefusedJobs()));
  const auto idle = scheduler_->CountIdleTasks(now);
  metrics_.Set(
    "acaciahill_long_running_waiting", {}, static_cast<double>(idle.waiting_));
  metrics_.Set("acaciahill_long_running_not_running",
               {},
               static_cast<double>(idle.assigned_));
  metrics_.Set("acaciahill_long_running_longest_absence_seconds",
               {},
               std::chrono::duration<double>(idle.longest_).count());
  const auto& reservations = scheduler_->Reservations();
  for (const auto& [outcome, count] :
       { std::pair("made", reservations.made_),
         std::pair("kept", reservations.kept_),
         std::pair("missed", reservations.missed_) }) {
    metrics_.Set("acaciahill_room_reservations",
                 { { "outcome", outcome } },
                 static_cast<double>(count));
  }
  ReportTenants();
  const auto& orders = relay_.Counts();
  const auto times = meter_.Read();
  LeaderMeter::Export(times, metrics_);
  const auto cpuMs = [&times](LeaderWork aWork) {
    return std::chrono::duration_cast<Millis>(
             times.at(static_cast<std::size_t>(aWork)))
      .count();
  };
  LogInfo(
    "leader load",
    { { "longest_lag_ms", longestLag_.count() },
      { "examined_workers", scheduler_->ExaminedWorkers() },
      { "waiting_requests", waiting_.size() },
      { "workers", scheduler_->Views().size() },
      { "jobs", scheduler_->State().Jobs().size() },
      { "since_ms", (now - loadReportedAt_).count() },
      { "direct_orders", orders.direct_ - reportedOrders_.direct_ },
      { "relayed_orders", orders.relayed_ - reportedOrders_.relayed_ },
      { "timed_out", orders.timedOut_ - reportedOrders_.timedOut_ },
      { "agent_failed", orders.agentFailed_ - reportedOrders_.agentFailed_ },
      { "not_given", orders.notGiven_ - reportedOrders_.notGiven_ },
      { "decisions_cpu_ms", cpuMs(LeaderWork::Decisions) },
      { "orders_cpu_ms", cpuMs(LeaderWork::Orders) },
      { "answers_cpu_ms", cpuMs(LeaderWork::Answers) },
      { "callers_cpu_ms", cpuMs(LeaderWork::Callers) },
      { "control_cpu_ms", cpuMs(LeaderWork::Control) },
      { "other_cpu_ms", cpuMs(LeaderWork::Other) } });
  loadReportedAt_ = now;
  longestLag_ = Millis(0);
  reportedOrders_ = orders;
  meter_.Reset();
}

// The number of tenants is not bounded, so that only the largest users are
// reported.
void
WorkloadHost::ReportTenants()
{
  constexpr std::size_t kMaxReported = 5;
  constexpr const char* kGauge = "acaciahill_tenant_milli_cores";
  metrics_.ForgetGauges(kGauge);
  std::vector<std::pair<std::int64_t, std::string>> largest;
  for (const auto& [name, used] : scheduler_->Tenants().Used()) {
    largest.emplace_back(used.milliCores_, name);
  }
  const auto reported = std::min(largest.size(), kMaxReported);
  std::partial_sort(largest.begin(),
                    largest.begin() + static_cast<std::ptrdiff_t>(reported),
                    largest.end(),
                    std::greater<>());
  for (std::size_t i = 0; i < reported; ++i) {
    const auto& [milliCores, name] = largest[i];
    metrics_.Set(
      kGauge, { { "tenant", name } }, static_cast<double>(milliCores));
    const auto tenant = config_.tenants_.find(name);
    const auto cap =
      tenant == config_.tenants_.end() ? TaskNeed{} : tenant->second.cap_;
    LogInfo("tenant load",
            { { "tenant", name },
              { "tenants", largest.size() },
              { "milli_cores", milliCores },
              { "cap_milli_cores", cap.milliCores_ },
              { "memory_mb", scheduler_->Tenants().UsedBy(name).memoryMb_ },
              { "cap_memory_mb", cap.memoryMb_ } });
  }
}

} // namespace acaciahill
