#include "client/client_func.h"
#include "client/text_table_func.h"

#include <map>

namespace acaciahill {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t kDefaultMemoryMb = 1024;

/// Numbers of tasks by phase, as "placed 2, running 5", by job.
std::map<std::string, std::string>
TasksByJob(const Json& aTasks)
{
  std::map<std::string, std::map<std::string, int>> counts;
  for (const auto& task : aTasks) {
    ++counts[task.value("job", std::string())]
            [task.value("phase", std::string())];
  }
  std::map<std::string, std::string> texts;
  for (const auto& [job, phases] : counts) {
    auto& text = texts[job];
    for (const auto& [phase, count] : phases) {
      text += (text.empty() ? "" : ", ") + phase + " " + std::to_string(count);
    }
  }
  return texts;
}

} // namespace

Result<Done>
ShowJobs(const CommandContext& aContext)
{
  const auto jobs = aContext.admin_.GetJson("/v1/jobs");
  const auto tasks = aContext.admin_.GetJson("/v1/tasks");
  const auto quotas = aContext.admin_.GetJson("/v1/quotas");
  for (const auto* answer : { &jobs, &tasks, &quotas }) {
    if (!IsOk(*answer)) {
      return ErrorOf(*answer);
    }
  }
  if (aContext.Has("json")) {
    const Json all{ { "jobs", ValueOf(jobs) },
                    { "tasks", ValueOf(tasks) },
                    { "quotas", ValueOf(quotas) } };
    aContext.out_ << all.dump(2) << '\n';
    return Done{};
  }
  const auto states = TasksByJob(ValueOf(tasks));
  auto list = ValueOf(jobs);
  for (auto& job : list) {
    const auto state = states.find(job.value("id", std::string()));
    job["states"] = state == states.end() ? "" : state->second;
  }
  aContext.out_ << ListAsText({ { "JOB", "id" },
                                { "POOL", "pool" },
                                { "TEAM", "team" },
                                { "TASKS", "tasks" },
                                { "MILLI_CORES", "milli_cores" },
                                { "MEMORY_MB", "memory_mb" },
                                { "SLOTS", "slots" },
                                { "URGENT", "urgent" },
                                { "CANCELLED", "cancelled" },
                                { "STATES", "states" } },
                              list);
  if (!ValueOf(quotas).empty()) {
    aContext.out_ << '\n'
                  << ListAsText({ { "TEAM", "team" },
                                  { "MILLI_CORES", "milli_cores" },
                                  { "MEMORY_MB", "memory_mb" } },
                                ValueOf(quotas));
  }
  return Done{};
}

Result<Done>
PutOneJob(const CommandContext& aContext)
{
  for (const auto* option : { "pool", "team" }) {
    if (!aContext.Has(option)) {
      return Error{ ErrorKind::BadRequest,
                    "--" + std::string(option) + " is missing" };
    }
  }
  const auto tasks = NumberOption(aContext, "tasks", 1);
  const auto cores = MilliCoresOption(aContext, "cores", 1);
  const auto memory = NumberOption(aContext, "memory-mb", kDefaultMemoryMb);
  const auto slots = NumberOption(aContext, "slots", 1);
  for (const auto* number : { &tasks, &cores, &memory, &slots }) {
    if (!IsOk(*number)) {
      return ErrorOf(*number);
    }
  }
  const Json job{
    { "id", aContext.words_[0] },      { "pool", aContext.Text("pool") },
    { "team", aContext.Text("team") }, { "tasks", ValueOf(tasks) },
    { "milli_cores", ValueOf(cores) }, { "memory_mb", ValueOf(memory) },
    { "slots", ValueOf(slots) },       { "urgent", aContext.Has("urgent") }
  };
  const auto reply =
    SendChange(aContext, { { "type", "put_job" }, { "job", job } });
  return IsOk(reply) ? Result<Done>(Done{}) : ErrorOf(reply);
}

Result<Done>
CancelOneJob(const CommandContext& aContext)
{
  const auto reply = SendChange(
    aContext, { { "type", "cancel_job" }, { "job", aContext.words_[0] } });
  return IsOk(reply) ? Result<Done>(Done{}) : ErrorOf(reply);
}

Result<Done>
SetTeamQuota(const CommandContext& aContext)
{
  const auto cores = MilliCoresOption(aContext, "cores", 0);
  const auto memory = NumberOption(aContext, "memory-mb", 0);
  for (const auto* number : { &cores, &memory }) {
    if (!IsOk(*number)) {
      return ErrorOf(*number);
    }
  }
  const Json quota{ { "team", aContext.words_[0] },
                    { "milli_cores", ValueOf(cores) },
                    { "memory_mb", ValueOf(memory) } };
  const auto reply =
    SendChange(aContext, { { "type", "set_quota" }, { "quota", quota } });
  return IsOk(reply) ? Result<Done>(Done{}) : ErrorOf(reply);
}

} // namespace acaciahill
