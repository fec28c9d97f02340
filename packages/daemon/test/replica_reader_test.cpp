#include "daemon/replica_reader_base.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace acaciahill;

namespace {

WorkerReport
Report()
{
  WorkerReport report;
  report.worker_.id_ = "i-1";
  report.worker_.processStartMs_ = 5;
  report.worker_.pool_ = "p";
  report.worker_.address_ = "10.1.0.9:80";
  report.worker_.capacity_ = { 16000, 32768, 0 };
  report.sequence_ = 4;
  return report;
}

} // namespace

// Guards against reports of a draining or restarted worker that are
// acknowledged without informing the leader.
TEST_CASE("only reports that say nothing new are taken without the leader")
{
  struct Row
  {
    const char* name_;
    std::function<void(WorkerReport&)> change_;
    bool isKnown_;
  };
  const std::vector<Row> rows{
    { "the same", [](auto&) {}, true },
    { "a later one", [](auto& aReport) { aReport.sequence_ = 9; }, true },
    { "draining",
      [](auto& aReport) { aReport.worker_.draining_ = true; },
      false },
    { "restarted",
      [](auto& aReport) { aReport.worker_.processStartMs_ = 6; },
      false },
    { "another address",
      [](auto& aReport) { aReport.worker_.address_ = "10.1.0.9:81"; },
      false },
    { "another pool",
      [](auto& aReport) { aReport.worker_.pool_ = "r"; },
      false },
    { "another worker",
      [](auto& aReport) { aReport.worker_.id_ = "i-2"; },
      false },
  };
  Workload state;
  auto entry = Report().worker_;
  entry.number_ = 3;
  state.Apply({ 1, { WorkerJoined{ entry }, EndsNoted{ 3, 17 } } });
  {
    auto draining = Workload{};
    auto leaving = entry;
    leaving.draining_ = true;
    draining.Apply({ 1, { WorkerJoined{ leaving } } });
    auto report = Report();
    report.worker_.draining_ = true;
    CHECK(!IsKnownReport(draining, report));
  }
  for (const auto& row : rows) {
    INFO(row.name_);
    auto report = Report();
    row.change_(report);
    CHECK(IsKnownReport(state, report) == row.isKnown_);
  }
  CHECK(!IsKnownReport(Workload{}, Report()));
}
