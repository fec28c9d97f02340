#include "daemon/leader_meter_base.h"

#include "kernel/os_clock_func.h"

#include <utility>

namespace acaciahill {

namespace {

constexpr std::array<const char*, kLeaderWorks> kWorkNames = {
  "other", "decisions", "orders", "answers", "callers", "control"
};

} // namespace

LeaderMeter::Scope::Scope(LeaderMeter& aMeter, LeaderWork aWork)
  : meter_(aMeter)
  , outer_(aMeter.work_)
{
  meter_.Switch(aWork);
}

LeaderMeter::Scope::~Scope()
{
  meter_.Switch(outer_);
}

void
LeaderMeter::Switch(LeaderWork aWork)
{
  const auto now = ThreadCpuTime();
  times_.at(static_cast<std::size_t>(work_)) += now - since_;
  since_ = now;
  work_ = aWork;
}

void
LeaderMeter::Reset()
{
  since_ = ThreadCpuTime();
  times_ = {};
}

LeaderMeter::Times
LeaderMeter::Read()
{
  Switch(work_);
  return times_;
}

void
LeaderMeter::Export(const Times& aTimes, Metrics& aMetrics)
{
  for (std::size_t work = 0; work < kLeaderWorks; ++work) {
    aMetrics.Count("acaciahill_leader_cpu_seconds_total",
                   { { "work", kWorkNames.at(work) } },
                   std::chrono::duration<double>(aTimes.at(work)).count());
  }
}

} // namespace acaciahill
