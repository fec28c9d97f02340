#pragma once

#include "workload/workload_type.h"

#include <variant>

namespace acaciahill {

/// The operator's configuration was accepted. Older versions change nothing.
struct ConfigAccepted
{
  ConfigDocument document_;

  bool operator==(const ConfigAccepted&) const = default;
};

/// A job was accepted. A second one with the same id changes nothing.
struct JobAccepted
{
  JobSpec spec_;

  bool operator==(const JobAccepted&) const = default;
};

struct JobCancelled
{
  JobId job_ = 0;

  bool operator==(const JobCancelled&) const = default;
};

/// An ended job is no longer kept.
struct JobRemoved
{
  JobId job_ = 0;

  bool operator==(const JobRemoved&) const = default;
};

/// The next occurrence of a repeated job is due.
struct OccurrenceBegun
{
  JobId job_ = 0;
  std::uint32_t occurrence_ = 0;

  bool operator==(const OccurrenceBegun&) const = default;
};

/// A run of a task was assigned; the order to the worker follows.
struct RunAssigned
{
  TaskKey task_;
  std::uint32_t run_ = 0;
  std::uint32_t worker_ = 0;

  bool operator==(const RunAssigned&) const = default;
};

/// A run ended, or is certain never to begin.
struct RunClosed
{
  TaskKey task_;
  std::uint32_t run_ = 0;
  RunEnd end_ = RunEnd::Rejected;
  /// From where a next run resumes; empty when nothing new was saved.
  std::string checkpoint_;
  /// The task has no attempt left; its job fails.
  bool isLast_ = false;

  bool operator==(const RunClosed&) const = default;
};

/// All ends that a worker has listed up to a number are in the state.
struct EndsNoted
{
  std::uint32_t worker_ = 0;
  std::uint64_t number_ = 0;

  bool operator==(const EndsNoted&) const = default;
};

/// A worker registered for the first time, or with other properties.
struct WorkerJoined
{
  WorkerEntry worker_;

  bool operator==(const WorkerJoined&) const = default;
};

/// A worker announced that it will leave.
struct WorkerDraining
{
  std::uint32_t worker_ = 0;

  bool operator==(const WorkerDraining&) const = default;
};

/// A worker's life is over. Its runs are closed by events of their own.
struct WorkerLeft
{
  std::uint32_t worker_ = 0;

  bool operator==(const WorkerLeft&) const = default;
};

struct WaveStarted
{
  UpkeepWave wave_;

  bool operator==(const WaveStarted&) const = default;
};

/// A VM of a wave has begun its upkeep, or is gone for good.
struct WaveVmBegun
{
  std::uint64_t wave_ = 0;
  std::string vm_;

  bool operator==(const WaveVmBegun&) const = default;
};

/// Replaces what was learned of the load.
struct LoadLearned
{
  LearnedLoad load_;

  bool operator==(const LoadLearned&) const = default;
};

/// Every change of the workload's state is one of these.
using WorkloadEvent = std::variant<ConfigAccepted,
                                   JobAccepted,
                                   JobCancelled,
                                   JobRemoved,
                                   OccurrenceBegun,
                                   RunAssigned,
                                   RunClosed,
                                   EndsNoted,
                                   WorkerJoined,
                                   WorkerDraining,
                                   WorkerLeft,
                                   WaveStarted,
                                   WaveVmBegun,
                                   LoadLearned>;

/// Events that are logged together.
struct WorkloadBatch
{
  /// Logical time in ms at which the leader made them; never falls.
  std::uint64_t atMs_ = 0;
  std::vector<WorkloadEvent> events_;

  bool operator==(const WorkloadBatch&) const = default;
};

} // namespace acaciahill
