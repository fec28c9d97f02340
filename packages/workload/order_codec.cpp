#include "workload/order_batch_type.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

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

// NOLINTBEGIN(readability-identifier-naming): names that cereal looks up.

template<typename Archive>
void
serialize(Archive& aArchive, OrderTarget& aValue)
{
  aArchive(aValue.worker_,
           aValue.id_,
           aValue.address_,
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
  aArchive(aValue.run_, aValue.payload_, aValue.checkpoint_);
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
           aValue.payloads_,
           aValue.ids_,
           aValue.orders_);
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
  aArchive(aValue.run_, aValue.checkpoint_, aValue.percent_, aValue.gauge_);
}

template<typename Archive>
void
serialize(Archive& aArchive, EndedRun& aValue)
{
  aArchive(aValue.number_);
  order_codec::Key(aArchive, aValue.task_);
  aArchive(aValue.run_);
  order_codec::Known(aArchive, aValue.end_, RunEnd::Lost);
  aArchive(aValue.checkpoint_);
}

template<typename Archive>
void
serialize(Archive& aArchive, WorkerLists& aValue)
{
  auto unread = static_cast<std::uint64_t>(aValue.unreadEnds_);
  aArchive(
    aValue.clockMs_, aValue.bornMs_, aValue.running_, aValue.ended_, unread);
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
           aValue.batch_.answers_);
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
