// What the scripted cases share: the deployment, jobs, and the exit codes.
#pragma once

#include "standin.h"

namespace review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

using Workers = std::vector<std::unique_ptr<Worker>>;

/// Starts the nodes and the workers and brings the configuration in. False
/// when no job is accepted within 20 s.
inline bool
StartDeployment(Cluster& aCluster,
                Workers& aWorkers,
                const Json& aConfig,
                Client& aProbe)
{
  aCluster.StartAll();
  SleepMs(500);
  for (auto& worker : aWorkers) {
    if (!worker->Start()) {
      return false;
    }
  }
  if (!aCluster.PutConfig(aConfig)) {
    return false;
  }
  SleepMs(2500);
  const Json job{ { "spec", "ms=100" },
                  { "steps",
                    { { { "count", 1 },
                        { "cpu", 500 },
                        { "memMb", 64 },
                        { "estimatedMs", 100 } } } } };
  for (int i = 0; i < 5; ++i) {
    if (aProbe.Submit(JobName(0xfff0 + i), job) == 200) {
      for (int wait = 0; wait < 20; ++wait) {
        if (aProbe.State(JobName(0xfff0 + i)) == "completed") {
          return true;
        }
        SleepMs(300);
      }
    }
  }
  Note("the deployment does not serve");
  return false;
}

inline void
AddWorkers(Workers& aWorkers,
           const Cluster& aCluster,
           const std::string& aService,
           int aFirst,
           int aCount,
           const std::string& aKind = "a")
{
  for (int i = 0; i < aCount; ++i) {
    const int number = aFirst + i;
    WorkerOptions options;
    options.id_ = "i-" + std::to_string(number);
    options.address_ = aCluster.Ip(100 + number) + ":8080";
    options.service_ = aService;
    options.zone_ = Cluster::Zone(number);
    options.rack_ = "r" + std::to_string(number % 3) + "-0";
    options.machine_ = "m-" + std::to_string(number);
    options.kind_ = aKind;
    options.firstControl_ = static_cast<std::size_t>(number);
    aWorkers.push_back(std::make_unique<Worker>(options, aCluster.Controls()));
  }
}

inline Json
OneStepJob(const std::string& aSpec,
           int aCount,
           int aCpu,
           int aEstimatedMs,
           const std::string& aLabel = "")
{
  Json step{ { "count", aCount },
             { "cpu", aCpu },
             { "memMb", 256 },
             { "estimatedMs", aEstimatedMs } };
  if (!aLabel.empty()) {
    step["requirements"] = aLabel;
  }
  return { { "spec", aSpec }, { "steps", Json::array({ step }) } };
}

/// Runs a case: PROGRAM RECORD [TROUBLE]. Returns 1 if the rule was broken, 0
/// if it held, and 2 if the case could not run.
inline int
RunCase(int aCount, char** aArguments, int (*aCase)(bool))
{
  if (aCount < 2) {
    std::cerr << aArguments[0] << " RECORD [TROUBLE]\n";
    return kNotRun;
  }
  ::signal(SIGPIPE, SIG_IGN);
  StartTime();
  Record::Get().Open(aArguments[1]);
  const bool trouble = aCount < 3 || std::string(aArguments[2]) != "0";
  int result = kNotRun;
  try {
    result = aCase(trouble);
  } catch (const std::exception& error) {
    Note(std::string("exception: ") + error.what());
  }
  const std::string text = result == kBroken ? "rule broken"
                           : result == kHeld ? "held"
                                             : "not run";
  Note(text);
  std::cout << text << std::endl;
  // Threads of connections may still be waiting.
  std::_Exit(result);
}

} // namespace review
