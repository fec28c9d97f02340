// Times the cores on one hand-made fleet, without processes:
//   bench_planner RUN FOLDER
// Appends to FOLDER/planner.csv and FOLDER/snapshot.csv.
#include "bench_func.h"

#include "planner/move_planner_base.h"
#include "planner/placement_planner_base.h"
#include "planner/vm_watch_base.h"
#include "planner/wave_planner_base.h"

#include <ctime>
#include <iostream>

using namespace acaciahill;
using namespace acaciahill::bench;

namespace {

constexpr int kPools = 21;
constexpr int kZones = 29;
constexpr int kVmsPerRack = 4;
constexpr int kSteps = 20;
constexpr Millis kStep{ 500 };

double
ThreadCpuMs()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e3 +
         static_cast<double>(time.tv_nsec) / 1e6;
}

class FleetMaker
{
public:
  FleetMaker(int aVms, int aTasks)
  {
    std::vector<PoolRow> rows;
    for (int i = 0; i < kPools; ++i) {
      PoolRow row;
      row.pool_ = "p" + std::to_string(i);
      row.size_ = aVms / kPools + 1;
      row.minAvailable_ = row.size_ / 2;
      row.maxUnavailable_ = 2;
      rows.push_back(row);
    }
    Apply(ApplyTable{ rows, 0 });
    for (int i = 0; i < aVms; ++i) {
      Apply(AnnounceVm{ { "vm" + std::to_string(10000 + i),
                          1,
                          "z" + std::to_string(i / kVmsPerRack % kZones),
                          "r" + std::to_string(i / kVmsPerRack),
                          "127.0.0.1:" + std::to_string(10000 + i),
                          16,
                          32768,
                          8,
                          64 } });
    }
    AddTasks(aTasks);
  }

  CommandResult Apply(Command aCommand)
  {
    CommandEnvelope envelope;
    envelope.requestId_ = "r" + std::to_string(++index_);
    envelope.elapsedMs_ = 1;
    envelope.command_ = std::move(aCommand);
    return fleet_.Apply(envelope, index_);
  }

  void AddClaims(int aClaims)
  {
    for (int i = 0; i < aClaims; ++i) {
      const auto key = "p1/c1/key-" + std::to_string(i);
      Apply(BeginClaim{ key, 1, "n1", "o" });
      Apply(EndClaim{ key,
                      "o",
                      ClaimEnd::Completed,
                      200,
                      "text/plain",
                      std::string(200, 'x'),
                      true });
    }
  }

  /// A view in which every VM and every running task was just heard.
  PlannerView View(MonotonicTime aNow) const
  {
    PlannerView view;
    view.fleet_ = &fleet_;
    for (const auto& [id, vm] : fleet_.Vms()) {
      view.targets_[id] = { vm.number_, 1, vm.epoch_, false, 0, aNow };
      view.zonesInContact_.insert(vm.identity_.zone_);
      view.reportsMadeAt_[id] = aNow;
    }
    for (const auto& [id, task] : fleet_.Tasks()) {
      if (!task.vm_.empty()) {
        view.reports_[task.vm_].push_back(
          { id, task.lease_, "running", 1000, 900, Millis(1000) });
      }
    }
    return view;
  }

  const Fleet& State() const { return fleet_; }

private:
  void AddTasks(int aTasks)
  {
    for (int pool = 0; pool < kPools && aTasks > 0; ++pool) {
      JobRecord job;
      job.id_ = "j" + std::to_string(pool);
      job.pool_ = "p" + std::to_string(pool);
      job.team_ = "t" + std::to_string(pool);
      job.tasks_ = std::max(1, aTasks / kPools);
      Apply(PutJob{ job });
    }
    // Places each task on a VM of its pool in turn, and reports it running.
    std::map<std::string, std::vector<std::string>> vms;
    for (const auto& [id, vm] : fleet_.Vms()) {
      vms[vm.pool_].push_back(id);
    }
    std::map<std::string, std::size_t> next;
    const auto tasks = fleet_.Tasks();
    for (const auto& [id, task] : tasks) {
      const auto& pool = fleet_.Jobs().at(task.job_).pool_;
      if (vms[pool].empty()) {
        continue;
      }
      Apply(
        PlaceTask{ id, vms[pool][next[pool]++ % vms[pool].size()], 3600000 });
      UpdateTask update;
      update.task_ = id;
      update.lease_ = fleet_.Tasks().at(id).lease_;
      Apply(update);
    }
  }

  Fleet fleet_;
  std::uint64_t index_ = 0;
};

template<typename Planner>
void
TimePlanner(const std::string& aName,
            const FleetMaker& aMaker,
            int aRun,
            CsvFile& aFile)
{
  Planner planner{ PlannerLimits{} };
  std::vector<double> times;
  std::size_t actions = 0;
  MonotonicTime now{ std::chrono::seconds(1000) };
  for (int i = 0; i < kSteps; ++i) {
    now += kStep;
    const auto view = aMaker.View(now);
    const auto begin = ThreadCpuMs();
    const auto made = planner.Step(view, now);
    times.push_back(ThreadCpuMs() - begin);
    actions = std::max(actions, made.size());
  }
  aFile.Line(aRun,
             aName,
             aMaker.State().Vms().size(),
             aMaker.State().Tasks().size(),
             Quantile(times, 0.5),
             Quantile(times, 0.99),
             actions,
             LoadAverage());
}

void
TimePlanners(int aRun, const std::string& aFolder)
{
  CsvFile file(aFolder + "/planner.csv",
               "run,planner,vms,tasks,step_p50_ms,step_max_ms,most_actions,"
               "load1");
  for (const int vms : { 50, 400, 1600, 3100 }) {
    for (const int tasksPerVm : { 0, 2, 4 }) {
      FleetMaker maker(vms, vms * tasksPerVm);
      maker.Apply(StartWave{ "w1", {}, 0 });
      TimePlanner<VmWatch>("watch", maker, aRun, file);
      TimePlanner<WavePlanner>("wave", maker, aRun, file);
      TimePlanner<MovePlanner>("move", maker, aRun, file);
      TimePlanner<PlacementPlanner>("placement", maker, aRun, file);
    }
  }
}

void
TimeSnapshots(int aRun, const std::string& aFolder)
{
  CsvFile file(aFolder + "/snapshot.csv",
               "run,vms,claims,bytes,encode_ms,decode_ms,load1");
  for (const auto& [vms, claims] :
       std::vector<std::pair<int, int>>{ { 50, 0 },
                                         { 400, 0 },
                                         { 1600, 0 },
                                         { 3100, 0 },
                                         { 50, 1000 },
                                         { 50, 5000 },
                                         { 50, 20000 },
                                         { 50, 50000 } }) {
    FleetMaker maker(vms, 0);
    maker.AddClaims(claims);
    const auto begin = ThreadCpuMs();
    const auto bytes = maker.State().EncodeSnapshot();
    const auto encoded = ThreadCpuMs();
    const auto fleet = Fleet::DecodeSnapshot(bytes);
    const auto decoded = ThreadCpuMs();
    if (!IsOk(fleet)) {
      throw std::runtime_error("a snapshot cannot be read");
    }
    file.Line(aRun,
              vms,
              claims,
              bytes.size(),
              encoded - begin,
              decoded - encoded,
              LoadAverage());
  }
}

} // namespace

int
main(int aCount, char** aWords)
{
  if (aCount < 3) {
    std::cerr << "usage: bench_planner RUN FOLDER\n";
    return 2;
  }
  try {
    TimePlanners(std::stoi(aWords[1]), aWords[2]);
    TimeSnapshots(std::stoi(aWords[1]), aWords[2]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
  return 0;
}
