#include "workload/workload_text_func.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace acaciahill {

namespace {

constexpr std::size_t kJobDigits = 16;
constexpr int kHexBase = 16;

template<typename T>
bool
TakeNumber(std::string_view& aText, T& aNumber)
{
  const auto* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, aNumber);
  if (parsed.ec != std::errc{}) {
    return false;
  }
  aText.remove_prefix(static_cast<std::size_t>(parsed.ptr - aText.data()));
  return true;
}

bool
TakeDot(std::string_view& aText)
{
  if (!aText.starts_with('.')) {
    return false;
  }
  aText.remove_prefix(1);
  return true;
}

} // namespace

std::string
JobText(JobId aJob)
{
  std::string text(kJobDigits, '0');
  for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
    *digit = "0123456789abcdef"[aJob % kHexBase];
    aJob /= kHexBase;
  }
  return text;
}

std::optional<JobId>
ParseJobText(std::string_view aText)
{
  if (aText.size() != kJobDigits ||
      aText.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
    return std::nullopt;
  }
  JobId job = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), job, kHexBase);
  return job;
}

std::string
TaskText(const TaskKey& aTask)
{
  return JobText(aTask.job_) + '.' + std::to_string(aTask.occurrence_) + '.' +
         std::to_string(aTask.step_) + '.' + std::to_string(aTask.index_);
}

std::optional<TaskKey>
ParseTaskText(std::string_view aText)
{
  const auto job = ParseJobText(aText.substr(0, kJobDigits));
  if (!job) {
    return std::nullopt;
  }
  aText.remove_prefix(kJobDigits);
  TaskKey task;
  task.job_ = *job;
  const bool isComplete =
    TakeDot(aText) && TakeNumber(aText, task.occurrence_) && TakeDot(aText) &&
    TakeNumber(aText, task.step_) && TakeDot(aText) &&
    TakeNumber(aText, task.index_) && aText.empty();
  return isComplete ? std::optional(task) : std::nullopt;
}

bool
IsSameStep(const TaskKey& aOne, const TaskKey& aOther)
{
  return aOne.job_ == aOther.job_ && aOne.occurrence_ == aOther.occurrence_ &&
         aOne.step_ == aOther.step_;
}

std::string_view
EndText(RunEnd aEnd)
{
  constexpr auto kTexts = std::to_array<std::string_view>({ "done",
                                                            "failed",
                                                            "stopped",
                                                            "lapsed",
                                                            "broken",
                                                            "alone",
                                                            "rejected",
                                                            "lost" });
  return kTexts.at(static_cast<std::size_t>(aEnd));
}

TaskNeed
Sum(const TaskNeed& aLeft, const TaskNeed& aRight)
{
  return { aLeft.milliCores_ + aRight.milliCores_,
           aLeft.memoryMb_ + aRight.memoryMb_,
           aLeft.accelerators_ + aRight.accelerators_ };
}

TaskNeed
Difference(const TaskNeed& aLeft, const TaskNeed& aRight)
{
  return { aLeft.milliCores_ - aRight.milliCores_,
           aLeft.memoryMb_ - aRight.memoryMb_,
           aLeft.accelerators_ - aRight.accelerators_ };
}

TaskNeed
Maximum(const TaskNeed& aOne, const TaskNeed& aOther)
{
  return { std::max(aOne.milliCores_, aOther.milliCores_),
           std::max(aOne.memoryMb_, aOther.memoryMb_),
           std::max(aOne.accelerators_, aOther.accelerators_) };
}

bool
Fits(const TaskNeed& aNeed, const TaskNeed& aLeft)
{
  return aNeed.milliCores_ <= aLeft.milliCores_ &&
         aNeed.memoryMb_ <= aLeft.memoryMb_ &&
         aNeed.accelerators_ <= aLeft.accelerators_;
}

TaskNeed
ReservedBy(const TaskNeed& aNeed, bool aUsesSpareCores)
{
  auto reserved = aNeed;
  if (aUsesSpareCores) {
    reserved.milliCores_ = 0;
  }
  return reserved;
}

TaskNeed
ReservedBy(const RunView& aRun)
{
  return ReservedBy(aRun.need_, aRun.usesSpareCores_);
}

bool
HasLongRunningTask(const WorkerView& aView)
{
  return std::any_of(
    aView.runs_.begin(), aView.runs_.end(), [](const auto& aRun) {
      return aRun.second.isLongRunning_;
    });
}

} // namespace acaciahill
