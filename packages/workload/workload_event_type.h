#pragma once

#include "workload/workload_type.h"

#include <variant>

namespace acaciahill {

/// The operator's configuration was accepted. A version that is not newer than
/// the current one changes nothing.
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

/// An ended job is deleted.
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

/// A run of a task was assigned to a worker; the start order is sent after the
/// commit.
struct RunAssigned
{
  TaskKey task_;
  std::uint32_t run_ = 0;
  std::uint32_t worker_ = 0;

  bool operator==(const RunAssigned&) const = default;
};

/// A run ended, or is known never to start.
struct RunClosed
{
  TaskKey task_;
  std::uint32_t run_ = 0;
  RunEnd end_ = RunEnd::Rejected;
  /// Checkpoint for the next run; empty when no new one was saved.
  std::string checkpoint_;
  /// The task has no attempt left, so that its job fails. This may be known
  /// only later: then the event comes a second time for the closed run.
  bool isLast_ = false;

  bool operator==(const RunClosed&) const = default;
};

/// A run goes on with the next incarnation of its worker, or on the same one,
/// where its start order is sent again after the commit.
struct RunAdopted
{
  TaskKey task_;
  std::uint32_t run_ = 0;
  std::uint32_t worker_ = 0;

  bool operator==(const RunAdopted&) const = default;
};

/// All ends of runs that a worker has listed up to a number are in the state.
struct EndsNoted
{
  std::uint32_t worker_ = 0;
  std::uint64_t number_ = 0;
  /// See WorkerEntry::boundUntilMs_.
  std::uint64_t boundUntilMs_ = 0;

  bool operator==(const EndsNoted&) const = default;
};

/// A worker registered for the first time, or with changed properties.
struct WorkerJoined
{
  WorkerEntry worker_;

  bool operator==(const WorkerJoined&) const = default;
};

/// A worker announced that it is draining and will leave.
struct WorkerDraining
{
  std::uint32_t worker_ = 0;

  bool operator==(const WorkerDraining&) const = default;
};

/// An incarnation of a worker is gone. Separate events close its runs.
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

/// The upkeep of a VM of a wave has begun, or the VM no longer exists.
struct WaveVmBegun
{
  std::uint64_t wave_ = 0;
  std::string vm_;

  bool operator==(const WaveVmBegun&) const = default;
};

/// Replaces the learned load statistics.
struct LoadLearned
{
  LearnedLoad load_;

  bool operator==(const LoadLearned&) const = default;
};

/// Any change of the workload state. The binary format depends on the order of
/// the alternatives.
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
                                   LoadLearned,
                                   RunAdopted>;

/// Events that are appended to the replicated log together.
struct WorkloadBatch
{
  /// Logical time in ms at which the leader created the batch; never decreases.
  std::uint64_t atMs_ = 0;
  std::vector<WorkloadEvent> events_;

  bool operator==(const WorkloadBatch&) const = default;
};

} // namespace acaciahill
