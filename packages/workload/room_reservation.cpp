#include "workload/room_reservation_base.h"

#include "workload/workload_text_func.h"

#include <algorithm>

namespace acaciahill {

namespace {

// A reservation whose task did not start counts as missed after this time.
constexpr Millis kMissedAfter{ 1000 };

} // namespace

std::optional<FutureRoom>
EarliestRoom(const TaskNeed& aNeed,
             const TaskNeed& aLeft,
             std::vector<ExpectedEnd> aEnds,
             MonotonicTime aNow)
{
  std::sort(aEnds.begin(), aEnds.end(), [](const auto& aOne, const auto& aTwo) {
    return aOne.at_ < aTwo.at_;
  });
  FutureRoom room{ aNow, aLeft };
  for (auto end = aEnds.begin();; ++end) {
    if (Fits(aNeed, room.room_)) {
      return room;
    }
    if (end == aEnds.end()) {
      return std::nullopt;
    }
    room.at_ = std::max(room.at_, end->at_);
    room.room_ = Sum(room.room_, end->room_);
  }
}

void
RoomReservations::Add(std::uint32_t aWorker,
                      const TaskNeed& aNeed,
                      const FutureRoom& aRoom)
{
  reservations_.emplace(aWorker, Reservation{ aNeed, aRoom });
}

bool
RoomReservations::Allows(std::uint32_t aWorker,
                         const TaskNeed& aNeed,
                         MonotonicTime aEndsAt) const
{
  const auto found = reservations_.find(aWorker);
  if (found == reservations_.end() || aEndsAt <= found->second.room_.at_) {
    return true;
  }
  const auto& [need, room] = found->second;
  return Fits(need, Difference(room.room_, aNeed));
}

void
RoomReservations::NotePlaced(std::uint32_t aWorker,
                             const TaskNeed& aNeed,
                             MonotonicTime aEndsAt)
{
  const auto found = reservations_.find(aWorker);
  if (found != reservations_.end() && aEndsAt > found->second.room_.at_) {
    auto& room = found->second.room_.room_;
    room = Difference(room, aNeed);
  }
}

std::uint32_t
ReservedSteps::WorkerOf(const TaskKey& aStep) const
{
  const auto found = steps_.find(aStep);
  return found == steps_.end() ? 0 : found->second.worker_;
}

bool
ReservedSteps::Set(const TaskKey& aStep,
                   std::uint32_t aWorker,
                   MonotonicTime aStartsBy)
{
  const auto [found, isNew] =
    steps_.try_emplace(aStep, Step{ aWorker, aStartsBy });
  found->second.worker_ = aWorker;
  counts_.made_ += isNew ? 1 : 0;
  return isNew;
}

void
ReservedSteps::NoteStart(const TaskKey& aTask, MonotonicTime aNow)
{
  const auto found =
    steps_.find({ aTask.job_, aTask.occurrence_, aTask.step_, 0 });
  if (found != steps_.end()) {
    ++(aNow <= found->second.startsBy_ ? counts_.kept_ : counts_.missed_);
    steps_.erase(found);
  }
}

void
ReservedSteps::Prune(MonotonicTime aNow)
{
  counts_.missed_ += std::erase_if(steps_, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.startsBy_ > kMissedAfter;
  });
}

} // namespace acaciahill
