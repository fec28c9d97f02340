#include "workload/order_batch_type.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/variant.hpp>

#include <algorithm>
#include <sstream>

// Binary formats of orders between nodes. cereal finds the functions below by
// their names; the order of the members they list defines the format.

namespace acaciahill {

namespace {

// Raised when the format changes. Nodes with another version refuse a batch,
// and the leader then sends its orders itself.
constexpr std::uint32_t kFormatVersion = 1;

} // namespace

namespace detail {

/// A start whose payload is an index into the payload list of the batch.
struct SharedStart
{
  OrderTarget target_;
  TaskKey task_;
  std::uint32_t run_ = 0;
  std::uint32_t payload_ = 0;
  std::string checkpoint_;
};

using SharedOrder = std::variant<SharedStart, StopRun, RenewLease, PaceRun>;

struct SharedBatch
{
  std::uint32_t formatVersion_ = kFormatVersion;
  std::uint64_t term_ = 0;
  std::int64_t untilMs_ = 0;
  std::vector<std::string> payloads_;
  std::vector<std::uint64_t> ids_;
  std::vector<SharedOrder> orders_;
};

struct VersionedAnswers
{
  std::uint32_t formatVersion_ = kFormatVersion;
  AnswerBatch batch_;
};

} // namespace detail

namespace {

/// Returns the payload's index in the list and adds it when it is new. Searches
/// from the end, as starts of one job are adjacent.
std::uint32_t
PayloadIndex(const std::string& aPayload, std::vector<std::string>& aPayloads)
{
  const auto found = std::find(aPayloads.rbegin(), aPayloads.rend(), aPayload);
  if (found != aPayloads.rend()) {
    return static_cast<std::uint32_t>(aPayloads.rend() - found - 1);
  }
  aPayloads.push_back(aPayload);
  return static_cast<std::uint32_t>(aPayloads.size() - 1);
}

template<typename Value>
std::string
ToBytes(const Value& aValue)
{
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(const_cast<Value&>(aValue));
  }
  return std::move(stream).str();
}

/// Returns an empty text, or why the bytes are invalid.
template<typename Value>
std::string
FromBytes(const std::string& aBytes, Value& aValue)
{
  std::istringstream stream{ aBytes };
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(aValue);
  } catch (const std::exception& error) {
    return error.what();
  }
  if (aValue.formatVersion_ != kFormatVersion) {
    return "unknown format version " + std::to_string(aValue.formatVersion_);
  }
  return stream.peek() == std::istringstream::traits_type::eof()
           ? ""
           : "unexpected bytes after the end";
}

} // namespace

namespace order_codec {

/// Bytes of a text that are read at once.
constexpr std::size_t kChunkBytes = 65536;

/// Wraps a text or a list that is encoded after its size. The size may be
/// corrupt, so that no memory is allocated before the data was read.
template<typename Value>
struct SizePrefixed
{
  Value& value_;
};

template<typename Value>
SizePrefixed<Value>
WithSize(Value& aValue)
{
  return { aValue };
}

} // namespace order_codec

// NOLINTBEGIN(readability-identifier-naming): cereal looks these names up.

namespace order_codec {

template<typename Archive>
void
serialize(Archive& aArchive, SizePrefixed<std::string>& aText)
{
  auto& text = aText.value_;
  cereal::size_type size = text.size();
  aArchive(cereal::make_size_tag(size));
  if constexpr (Archive::is_loading::value) {
    text.clear();
    while (text.size() < size) {
      const auto at = text.size();
      const auto chunk =
        std::min(kChunkBytes, static_cast<std::size_t>(size - at));
      text.resize(at + chunk);
      aArchive(cereal::binary_data(text.data() + at, chunk));
    }
  } else {
    aArchive(cereal::binary_data(text.data(), text.size()));
  }
}

template<typename Archive, typename Value>
void
serialize(Archive& aArchive, SizePrefixed<std::vector<Value>>& aList)
{
  auto& list = aList.value_;
  cereal::size_type size = list.size();
  aArchive(cereal::make_size_tag(size));
  if constexpr (Archive::is_loading::value) {
    list.clear();
  }
  for (cereal::size_type i = 0; i < size; ++i) {
    if constexpr (Archive::is_loading::value) {
      list.emplace_back();
    }
    if constexpr (std::is_same_v<Value, std::string>) {
      aArchive(WithSize(list[i]));
    } else {
      aArchive(list[i]);
    }
  }
}

} // namespace order_codec

template<typename Archive>
void
serialize(Archive& aArchive, OrderTarget& aValue)
{
  aArchive(aValue.worker_,
           order_codec::WithSize(aValue.id_),
           order_codec::WithSize(aValue.address_),
           aValue.fence_,
           aValue.leaseEndMs_);
}

namespace order_codec {

/// Serializes a task's key. Independent of the log format, which serialize() in
/// workload_codec.cpp defines.
template<typename Archive>
void
SerializeKey(Archive& aArchive, TaskKey& aValue)
{
  aArchive(aValue.job_, aValue.occurrence_, aValue.step_, aValue.index_);
}

/// Serializes a value of an enumeration and rejects those above aLast.
template<typename Archive, typename Enumeration>
void
SerializeEnum(Archive& aArchive, Enumeration& aValue, Enumeration aLast)
{
  aArchive(aValue);
  if (aValue > aLast) {
    throw cereal::Exception(
      "unknown enum value " + std::to_string(static_cast<unsigned>(aValue)) +
      " above " + std::to_string(static_cast<unsigned>(aLast)));
  }
}

} // namespace order_codec

namespace detail {

template<typename Archive>
void
serialize(Archive& aArchive, SharedStart& aValue)
{
  aArchive(aValue.target_);
  order_codec::SerializeKey(aArchive, aValue.task_);
  aArchive(
    aValue.run_, aValue.payload_, order_codec::WithSize(aValue.checkpoint_));
}

} // namespace detail

template<typename Archive>
void
serialize(Archive& aArchive, StopRun& aValue)
{
  aArchive(aValue.target_);
  order_codec::SerializeKey(aArchive, aValue.task_);
  aArchive(aValue.run_);
}

template<typename Archive>
void
serialize(Archive& aArchive, RenewLease& aValue)
{
  auto waitMs = static_cast<std::int64_t>(aValue.wait_.count());
  aArchive(aValue.target_, aValue.notedEnds_, waitMs, aValue.isProbe_);
  aValue.wait_ = Millis(waitMs);
}

template<typename Archive>
void
serialize(Archive& aArchive, PaceRun& aValue)
{
  aArchive(aValue.target_);
  order_codec::SerializeKey(aArchive, aValue.task_);
  aArchive(aValue.run_, aValue.percent_);
}

namespace detail {

template<typename Archive>
void
serialize(Archive& aArchive, SharedBatch& aValue)
{
  aArchive(aValue.formatVersion_,
           aValue.term_,
           aValue.untilMs_,
           order_codec::WithSize(aValue.payloads_),
           order_codec::WithSize(aValue.ids_),
           order_codec::WithSize(aValue.orders_));
}

} // namespace detail

template<typename Archive>
void
serialize(Archive& aArchive, OrderAnswer& aValue)
{
  order_codec::SerializeEnum(aArchive, aValue.outcome_, OrderOutcome::Unknown);
  aArchive(aValue.clockMs_);
}

template<typename Archive>
void
serialize(Archive& aArchive, RunningTask& aValue)
{
  order_codec::SerializeKey(aArchive, aValue.task_);
  aArchive(aValue.run_,
           order_codec::WithSize(aValue.checkpoint_),
           aValue.percent_,
           aValue.gauge_);
}

template<typename Archive>
void
serialize(Archive& aArchive, EndedRun& aValue)
{
  aArchive(aValue.number_);
  order_codec::SerializeKey(aArchive, aValue.task_);
  aArchive(aValue.run_);
  order_codec::SerializeEnum(aArchive, aValue.end_, RunEnd::Lost);
  aArchive(order_codec::WithSize(aValue.checkpoint_));
}

template<typename Archive>
void
serialize(Archive& aArchive, WorkerLists& aValue)
{
  auto unread = static_cast<std::uint64_t>(aValue.unreadEnds_);
  aArchive(aValue.clockMs_,
           aValue.processStartMs_,
           order_codec::WithSize(aValue.running_),
           order_codec::WithSize(aValue.ended_),
           unread);
  aValue.unreadEnds_ = static_cast<std::size_t>(unread);
}

template<typename Archive>
void
serialize(Archive& aArchive, RelayedAnswer& aValue)
{
  aArchive(aValue.id_, aValue.answer_, aValue.lists_);
}

namespace detail {

template<typename Archive>
void
serialize(Archive& aArchive, VersionedAnswers& aValue)
{
  aArchive(aValue.formatVersion_,
           aValue.batch_.term_,
           aValue.batch_.clockMs_,
           order_codec::WithSize(aValue.batch_.answers_));
}

} // namespace detail

// NOLINTEND(readability-identifier-naming)

namespace {

detail::SharedOrder
ToShared(const WorkerOrder& aOrder, std::vector<std::string>& aPayloads)
{
  return std::visit(
    [&aPayloads](const auto& aOne) -> detail::SharedOrder {
      if constexpr (std::is_same_v<std::decay_t<decltype(aOne)>, StartRun>) {
        return detail::SharedStart{ aOne.target_,
                                    aOne.task_,
                                    aOne.run_,
                                    PayloadIndex(aOne.payload_, aPayloads),
                                    aOne.checkpoint_ };
      } else {
        return aOne;
      }
    },
    aOrder);
}

/// Returns nullopt when the payload is missing.
std::optional<WorkerOrder>
FromShared(const detail::SharedOrder& aOrder,
           const std::vector<std::string>& aPayloads)
{
  return std::visit(
    [&aPayloads](const auto& aOne) -> std::optional<WorkerOrder> {
      if constexpr (std::is_same_v<std::decay_t<decltype(aOne)>,
                                   detail::SharedStart>) {
        if (aOne.payload_ >= aPayloads.size()) {
          return std::nullopt;
        }
        return StartRun{ aOne.target_,
                         aOne.task_,
                         aOne.run_,
                         aPayloads[aOne.payload_],
                         aOne.checkpoint_ };
      } else {
        return aOne;
      }
    },
    aOrder);
}

} // namespace

std::string
EncodeOrders(const OrderBatch& aBatch)
{
  detail::SharedBatch shared;
  shared.term_ = aBatch.term_;
  shared.untilMs_ = aBatch.untilMs_;
  for (const auto& each : aBatch.orders_) {
    shared.ids_.push_back(each.id_);
    shared.orders_.push_back(ToShared(each.order_, shared.payloads_));
  }
  return ToBytes(shared);
}

std::string
EncodeAnswers(const AnswerBatch& aBatch)
{
  return ToBytes(detail::VersionedAnswers{ kFormatVersion, aBatch });
}

Result<OrderBatch>
DecodeOrders(const std::string& aBytes)
{
  detail::SharedBatch shared;
  auto problem = FromBytes(aBytes, shared);
  if (problem.empty() && shared.ids_.size() != shared.orders_.size()) {
    problem = std::to_string(shared.ids_.size()) + " ids for " +
              std::to_string(shared.orders_.size()) + " orders";
  }
  OrderBatch batch{ shared.term_, shared.untilMs_, {} };
  for (std::size_t i = 0; problem.empty() && i < shared.orders_.size(); ++i) {
    auto order = FromShared(shared.orders_[i], shared.payloads_);
    if (!order) {
      problem = "start refers to a missing payload";
      break;
    }
    batch.orders_.push_back({ shared.ids_[i], std::move(*order) });
  }
  if (!problem.empty()) {
    return Error{ ErrorKind::BadRequest, "orders: " + problem };
  }
  return batch;
}

Result<AnswerBatch>
DecodeAnswers(const std::string& aBytes)
{
  detail::VersionedAnswers versioned;
  if (const auto problem = FromBytes(aBytes, versioned); !problem.empty()) {
    return Error{ ErrorKind::BadRequest, "answers to orders: " + problem };
  }
  return std::move(versioned.batch_);
}

} // namespace acaciahill
