#pragma once

#include "workload/worker_view_type.h"
#include "workload/workload_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace acaciahill {

/// A job's id as 16 hexadecimal digits.
std::string
JobText(JobId aJob);

/// Reads JobText's form; nothing for anything else.
std::optional<JobId>
ParseJobText(std::string_view aText);

/// A task as "job.occurrence.step.index".
std::string
TaskText(const TaskKey& aTask);

/// Reads TaskText's form; nothing for anything else.
std::optional<TaskKey>
ParseTaskText(std::string_view aText);

/// The name of an end, for logs.
std::string_view
EndText(RunEnd aEnd);

TaskNeed
Sum(const TaskNeed& aLeft, const TaskNeed& aRight);

TaskNeed
Difference(const TaskNeed& aLeft, const TaskNeed& aRight);

/// True when a need fits into what is left.
bool
Fits(const TaskNeed& aNeed, const TaskNeed& aLeft);

/// What a task takes of its worker's capacity: a task that fills takes no
/// cores.
TaskNeed
ReservedBy(const TaskNeed& aNeed, bool aFills);

TaskNeed
ReservedBy(const RunView& aRun);

/// The worker has a run of a task that lasts.
bool
HasLongRunningTask(const WorkerView& aView);

} // namespace acaciahill
