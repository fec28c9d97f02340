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

/// Parses the format of JobText; nullopt for any other text.
std::optional<JobId>
ParseJobText(std::string_view aText);

/// A task's key as "job.occurrence.step.index".
std::string
TaskText(const TaskKey& aTask);

/// Parses the format of TaskText; nullopt for any other text.
std::optional<TaskKey>
ParseTaskText(std::string_view aText);

/// Whether the tasks belong to one step of one occurrence.
bool
IsSameStep(const TaskKey& aOne, const TaskKey& aOther);

/// The name of a RunEnd, for logs.
std::string_view
EndText(RunEnd aEnd);

TaskNeed
Sum(const TaskNeed& aLeft, const TaskNeed& aRight);

TaskNeed
Difference(const TaskNeed& aLeft, const TaskNeed& aRight);

/// The larger amount of each resource.
TaskNeed
Maximum(const TaskNeed& aOne, const TaskNeed& aOther);

/// True when the remaining capacity aLeft covers the need in every resource.
bool
Fits(const TaskNeed& aNeed, const TaskNeed& aLeft);

/// The capacity that a task reserves on its worker: no cores for a task that
/// uses spare cores only.
TaskNeed
ReservedBy(const TaskNeed& aNeed, bool aUsesSpareCores);

TaskNeed
ReservedBy(const RunView& aRun);

/// True when a run of a long-running task is assigned to the worker.
bool
HasLongRunningTask(const WorkerView& aView);

} // namespace acaciahill
