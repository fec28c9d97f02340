#pragma once

#include "kernel/time_type.h"
#include "workload/workload_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace acaciahill {

/// Room on a worker that becomes free when a run ends.
struct ExpectedEnd
{
  MonotonicTime at_{};
  TaskNeed room_;

  bool operator==(const ExpectedEnd&) const = default;
};

/// When a worker can be expected to have room for a task, and all of its room
/// at that time.
struct FutureRoom
{
  MonotonicTime at_{};
  TaskNeed room_;

  bool operator==(const FutureRoom&) const = default;
};

/// The earliest time at which a need fits into what is left on a worker and
/// what its runs free until then; nothing when it does not fit after all ends.
std::optional<FutureRoom>
EarliestRoom(const TaskNeed& aNeed,
             const TaskNeed& aLeft,
             std::vector<ExpectedEnd> aEnds,
             MonotonicTime aNow);

/// Room that is kept for tasks which find none now, during one round of
/// placement. Other tasks may use the same worker as long as the task still
/// fits at its time (backfilling): those that end before, and those that leave
/// enough room.
class RoomReservations
{
public:
  /// Reservations in one pool. A few suffice, as the tasks behind them are
  /// placed when their turn comes; each keeps a worker from filling up.
  static constexpr std::size_t kMaxReservations = 4;

  bool IsFull() const { return reservations_.size() >= kMaxReservations; }
  bool Has(std::uint32_t aWorker) const
  {
    return reservations_.contains(aWorker);
  }

  /// Keeps room on a worker without a reservation.
  void Add(std::uint32_t aWorker,
           const TaskNeed& aNeed,
           const FutureRoom& aRoom);

  /// Whether a task that runs until then may be placed on the worker.
  bool Allows(std::uint32_t aWorker,
              const TaskNeed& aNeed,
              MonotonicTime aEndsAt) const;

  /// A task was placed on the worker.
  void NotePlaced(std::uint32_t aWorker,
                  const TaskNeed& aNeed,
                  MonotonicTime aEndsAt);

private:
  struct Reservation
  {
    TaskNeed need_;
    FutureRoom room_;
  };

  std::map<std::uint32_t, Reservation> reservations_;
};

/// Counts of reserved room, by what became of it.
struct ReservationCounts
{
  std::uint64_t made_ = 0;
  /// The task started by the expected time.
  std::uint64_t kept_ = 0;
  /// The task started later, or lost its reservation.
  std::uint64_t missed_ = 0;

  bool operator==(const ReservationCounts&) const = default;
};

/// The steps for which room is kept, over the rounds of placement, and what
/// became of them. Not replicated: a new leader makes its own reservations, as
/// they follow from what waits and what runs.
class ReservedSteps
{
public:
  /// Number of the worker where room is kept for a step, by its first task; 0
  /// without one.
  std::uint32_t WorkerOf(const TaskKey& aStep) const;

  /// Room is kept on the worker, so that the step's next task is expected to
  /// start by then. False when it had a reservation before, whose time stays.
  bool Set(const TaskKey& aStep,
           std::uint32_t aWorker,
           MonotonicTime aStartsBy);

  /// A task was placed.
  void NoteStart(const TaskKey& aTask, MonotonicTime aNow);

  /// A step whose job has ended, or that waits far longer than expected, counts
  /// as missed and may get a new reservation.
  void Prune(MonotonicTime aNow);

  const ReservationCounts& Counts() const { return counts_; }

private:
  struct Step
  {
    std::uint32_t worker_ = 0;
    MonotonicTime startsBy_{};
  };

  std::map<TaskKey, Step> steps_;
  ReservationCounts counts_;
};

} // namespace acaciahill
