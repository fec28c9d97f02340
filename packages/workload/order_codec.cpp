#include "workload/order_batch_type.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/variant.hpp>

#include <algorithm>
#include <sstream>

// The binary forms of orders between nodes. cereal finds the functions below by
// their names; their order of members is the form.

namespace acaciahill {

namespace {

// Raised when the form changes. Nodes of another form refuse it, and the leader
// then gives its orders itself.
constexpr std::uint32_t kOrderForm = 1;

} // namespace

namespace detail {

/// A start whose payload stands in a list of the batch.
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
  std::uint32_t form_ = kOrderForm;
  std::uint64_t term_ = 0;
  std::int64_t untilMs_ = 0;
  std::vector<std::string> payloads_;
  std::vector<std::uint64_t> ids_;
  std::vector<SharedOrder> orders_;
};

struct FormedAnswers
{
  std::uint32_t form_ = kOrderForm;
  AnswerBatch batch_;
};

} // namespace detail

namespace {

/// The payload's place in the list, to which it is added when it is new. Starts
/// of one job follow on each other.
std::uint32_t
PlaceOf(const std::string& aPayload, std::vector<std::string>& aPayloads)
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

/// Empty, or what is wrong with the bytes.
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
  if (aValue.form_ != kOrderForm) {
    return "its form is not known";
  }
  return stream.peek() == std::istringstream::traits_type::eof()
           ? ""
           : "it goes on beyond its end";
}

} // namespace

namespace order_codec {

/// Bytes of a text that are read at once.
constexpr std::size_t kPiece = 65536;

/// A text or a list. The size that stands before it takes no memory by itself:
/// it may be damaged.
template<typename Value>
struct Sized
{
  Value& value_;
};

template<typename Value>
Sized<Value>
BySize(Value& aValue)
{
  return { aValue };
}

} // namespace order_codec

// NOLINTBEGIN(readability-identifier-naming): names that cereal looks up.

namespace order_codec {

template<typename Archive>
void
serialize(Archive& aArchive, Sized<std::string>& aText)
{
  auto& text = aText.value_;
  cereal::size_type size = text.size();
  aArchive(cereal::make_size_tag(size));
  if constexpr (Archive::is_loading::value) {
    text.clear();
    while (text.size() < size) {
      const auto at = text.size();
      const auto piece = std::min(kPiece, static_cast<std::size_t>(size - at));
      text.resize(at + piece);
      aArchive(cereal::binary_data(text.data() + at, piece));
    }
  } else {
    aArchive(cereal::binary_data(text.data(), text.size()));
  }
}

template<typename Archive, typename Value>
void
serialize(Archive& aArchive, Sized<std::vector<Value>>& aList)
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
      aArchive(BySize(list[i]));
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
           order_codec::BySize(aValue.id_),
           order_codec::BySize(aValue.address_),
           aValue.fence_,
           aValue.leaseEndMs_);
}

namespace order_codec {

/// A task's key; the form of the log is another.
template<typename Archive>
void
Key(Archive& aArchive, TaskKey& aValue)
{
  aArchive(aValue.job_, aValue.occurrence_, aValue.step_, aValue.index_);
}

/// A value of an enumeration up to its last one.
template<typename Archive, typename Enumeration>
void
Known(Archive& aArchive, Enumeration& aValue, Enumeration aLast)
{
  aArchive(aValue);
  if (aValue > aLast) {
    throw cereal::Exception("a value is not known");
  }
}

} // namespace order_codec

namespace detail {

template<typename Archive>
void
serialize(Archive& aArchive, SharedStart& aValue)
{
  aArchive(aValue.target_);
  order_codec::Key(aArchive, aValue.task_);
  aArchive(
    aValue.run_, aValue.payload_, order_codec::BySize(aValue.checkpoint_));
}

} // namespace detail

template<typename Archive>
void
serialize(Archive& aArchive, StopRun& aValue)
{
  aArchive(aValue.target_);
  order_codec::Key(aArchive, aValue.task_);
  aArchive(aValue.run_);
}

template<typename Archive>
void
serialize(Archive& aArchive, RenewLease& aValue)
{
  auto waitMs = static_cast<std::int64_t>(aValue.wait_.count());
  aArchive(aValue.target_, aValue.notedEnds_, waitMs, aValue.isLook_);
  aValue.wait_ = Millis(waitMs);
}

template<typename Archive>
void
serialize(Archive& aArchive, PaceRun& aValue)
{
  aArchive(aValue.target_);
  order_codec::Key(aArchive, aValue.task_);
  aArchive(aValue.run_, aValue.percent_);
}

namespace detail {

template<typename Archive>
void
serialize(Archive& aArchive, SharedBatch& aValue)
{
  aArchive(aValue.form_,
           aValue.term_,
           aValue.untilMs_,
           order_codec::BySize(aValue.payloads_),
           order_codec::BySize(aValue.ids_),
           order_codec::BySize(aValue.orders_));
}

} // namespace detail

template<typename Archive>
void
serialize(Archive& aArchive, OrderAnswer& aValue)
{
  order_codec::Known(aArchive, aValue.outcome_, OrderOutcome::Unknown);
  aArchive(aValue.clockMs_);
}

template<typename Archive>
void
serialize(Archive& aArchive, RunningTask& aValue)
{
  order_codec::Key(aArchive, aValue.task_);
  aArchive(aValue.run_,
           order_codec::BySize(aValue.checkpoint_),
           aValue.percent_,
           aValue.gauge_);
}

template<typename Archive>
void
serialize(Archive& aArchive, EndedRun& aValue)
{
  aArchive(aValue.number_);
  order_codec::Key(aArchive, aValue.task_);
  aArchive(aValue.run_);
  order_codec::Known(aArchive, aValue.end_, RunEnd::Lost);
  aArchive(order_codec::BySize(aValue.checkpoint_));
}

template<typename Archive>
void
serialize(Archive& aArchive, WorkerLists& aValue)
{
  auto unread = static_cast<std::uint64_t>(aValue.unreadEnds_);
  aArchive(aValue.clockMs_,
           aValue.processStartMs_,
           order_codec::BySize(aValue.running_),
           order_codec::BySize(aValue.ended_),
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
serialize(Archive& aArchive, FormedAnswers& aValue)
{
  aArchive(aValue.form_,
           aValue.batch_.term_,
           aValue.batch_.clockMs_,
           order_codec::BySize(aValue.batch_.answers_));
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
                                    PlaceOf(aOne.payload_, aPayloads),
                                    aOne.checkpoint_ };
      } else {
        return aOne;
      }
    },
    aOrder);
}

/// Nothing when the payload is missing.
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
  return ToBytes(detail::FormedAnswers{ kOrderForm, aBatch });
}

Result<OrderBatch>
DecodeOrders(const std::string& aBytes)
{
  detail::SharedBatch shared;
  auto fault = FromBytes(aBytes, shared);
  if (fault.empty() && shared.ids_.size() != shared.orders_.size()) {
    fault = "an order without a number";
  }
  OrderBatch batch{ shared.term_, shared.untilMs_, {} };
  for (std::size_t i = 0; fault.empty() && i < shared.orders_.size(); ++i) {
    auto order = FromShared(shared.orders_[i], shared.payloads_);
    if (!order) {
      fault = "a start without its payload";
      break;
    }
    batch.orders_.push_back({ shared.ids_[i], std::move(*order) });
  }
  if (!fault.empty()) {
    return Error{ ErrorKind::BadRequest, "orders: " + fault };
  }
  return batch;
}

Result<AnswerBatch>
DecodeAnswers(const std::string& aBytes)
{
  detail::FormedAnswers formed;
  if (const auto fault = FromBytes(aBytes, formed); !fault.empty()) {
    return Error{ ErrorKind::BadRequest, "answers to orders: " + fault };
  }
  return std::move(formed.batch_);
}

} // namespace acaciahill
