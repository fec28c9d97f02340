#include "workload/order_batch_type.h"

#include <catch2/catch.hpp>

#include <sys/resource.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace acaciahill;

namespace {

constexpr std::uint64_t kTerm = 7;
// Numbers whose bytes occur only once in a sample.
constexpr std::uint32_t kWorker = 0x51525354;
constexpr std::uint32_t kRun = 0x61626364;
constexpr std::uint32_t kEndedRun = 0x71727374;
constexpr std::uint64_t kAnswerId = 0x5556575841424344;
const std::string kWorkerBytes = "TSRQ";
const std::string kRunBytes = "dcba";
const std::string kEndedRunBytes = "tsrq";
const std::string kAnswerIdBytes = "DCBAXWVU";
// The format version follows the byte that tells the byte order.
constexpr std::size_t kVersionAt = 1;
constexpr std::size_t kVersionBytes = 4;

OrderTarget
Target(std::uint32_t aWorker = kWorker)
{
  return { aWorker, "life-1", "127.0.0.9:7000", 99, -5 };
}

TaskKey
Task(std::uint32_t aIndex)
{
  return { 0xfedcba9876543210, 3, 2, aIndex };
}

StartRun
Start(std::uint32_t aIndex, std::string aPayload)
{
  return { Target(), Task(aIndex), kRun, std::move(aPayload), "at 40%" };
}

OrderBatch
Batch(const std::vector<WorkerOrder>& aOrders)
{
  OrderBatch batch{ kTerm, 123456789012, {} };
  std::uint64_t id = 0xffffffff0;
  for (const auto& each : aOrders) {
    batch.orders_.push_back({ id++, each });
  }
  return batch;
}

WorkerLists
Lists()
{
  WorkerLists lists;
  lists.clockMs_ = 1700000000000;
  lists.processStartMs_ = 1600000000000;
  lists.running_ = { { Task(0), 1, "", 0, std::nullopt },
                     { Task(1), kRun, "here", 100, 2500 } };
  std::uint64_t number = 1;
  for (const auto end : { RunEnd::Done,
                          RunEnd::Failed,
                          RunEnd::Stopped,
                          RunEnd::Lapsed,
                          RunEnd::Broken,
                          RunEnd::Alone,
                          RunEnd::Rejected,
                          RunEnd::Lost }) {
    lists.ended_.push_back({ number++, Task(2), kEndedRun, end, "there" });
  }
  return lists;
}

/// Samples of both formats, with all kinds of entries.
OrderBatch
SampleOrders()
{
  return Batch({ Start(0, "payload"),
                 StopRun{ Target(), Task(1), kRun },
                 RenewLease{ Target(), 17, Millis(2500), true, {} },
                 PaceRun{ Target(), Task(2), kRun, 60 } });
}

AnswerBatch
SampleAnswers()
{
  return { kTerm,
           55,
           { { kAnswerId, { OrderOutcome::Taken, 1700000000000 }, Lists() },
             { 2, { OrderOutcome::Unknown, std::nullopt }, std::nullopt } } };
}

/// The bytes with some of them replaced.
std::string
WithBytes(std::string aBytes, std::size_t aAt, const std::string& aTo)
{
  REQUIRE(aAt + aTo.size() <= aBytes.size());
  return aBytes.replace(aAt, aTo.size(), aTo);
}

template<typename Value>
bool
IsBadRequest(const Result<Value>& aResult)
{
  return !IsOk(aResult) && ErrorOf(aResult).kind_ == ErrorKind::BadRequest;
}

} // namespace

// Guards against a member that is lost when another node sends the order.
TEST_CASE("decoded orders equal the encoded ones")
{
  struct Row
  {
    const char* name_;
    std::vector<WorkerOrder> orders_;
  };
  const std::vector<Row> rows{
    { "none", {} },
    { "a start", { Start(1, "payload") } },
    { "a start without payload and checkpoint",
      { StartRun{ Target(), Task(1), 1, "", "" } } },
    { "a start whose payload is not text",
      { Start(1, std::string("\0\xff\n\x01", 4)) } },
    { "a stop", { StopRun{ Target(), Task(0xffffffff), 0xffffffff } } },
    { "a renewal", { RenewLease{ Target(), 17, Millis(2500), false, {} } } },
    { "a renewal that only asks for the lists",
      { RenewLease{ Target(), 0, Millis(0), true, {} } } },
    { "a pace", { PaceRun{ Target(), Task(2), 8, 0 } } },
    { "starts that share payloads, among others",
      { Start(1, "a"),
        Start(2, "b"),
        StopRun{ Target(3), Task(9), 1 },
        Start(3, "a"),
        Start(4, ""),
        RenewLease{ Target(4), 1, Millis(1), false, {} },
        Start(5, "b"),
        Start(6, "") } },
  };
  for (const auto& row : rows) {
    INFO(row.name_);
    const auto batch = Batch(row.orders_);
    const auto decoded = DecodeOrders(EncodeOrders(batch));
    REQUIRE(IsOk(decoded));
    CHECK(ValueOf(decoded) == batch);
  }
}

// Guards against using a time of one node's clock on another node.
TEST_CASE("the time at which a renewal was sent is not encoded")
{
  const RenewLease sent{
    Target(), 17, Millis(2500), false, MonotonicTime(Millis(123456))
  };
  auto received = sent;
  received.sentAt_ = {};
  const auto bytes = EncodeOrders(Batch({ sent }));
  CHECK(bytes == EncodeOrders(Batch({ received })));
  const auto decoded = DecodeOrders(bytes);
  REQUIRE(IsOk(decoded));
  CHECK(ValueOf(decoded) == Batch({ received }));
}

// Guards against an answer that the leader decodes as another one.
TEST_CASE("decoded answers equal the encoded ones")
{
  struct Row
  {
    const char* name_;
    std::vector<RelayedAnswer> answers_;
  };
  auto withoutProcessStart = Lists();
  withoutProcessStart.processStartMs_.reset();
  std::vector<Row> rows{
    { "none", {} },
    { "no lists", { { 1, { OrderOutcome::Taken, 1 }, std::nullopt } } },
    { "empty lists", { { 1, { OrderOutcome::Taken, 1 }, WorkerLists{} } } },
    { "lists", { { 2, { OrderOutcome::Taken, -1 }, Lists() } } },
    { "no process start",
      { { 2, { OrderOutcome::Taken, 0 }, withoutProcessStart } } },
    { "several", SampleAnswers().answers_ },
  };
  for (const auto outcome : { OrderOutcome::Taken,
                              OrderOutcome::Fenced,
                              OrderOutcome::TooOld,
                              OrderOutcome::TooLate,
                              OrderOutcome::NoRoom,
                              OrderOutcome::NoTicket,
                              OrderOutcome::Refused,
                              OrderOutcome::WorkerUnavailable,
                              OrderOutcome::OtherIncarnation,
                              OrderOutcome::Unknown }) {
    rows.push_back(
      { "an outcome",
        { { 0xffffffffffffffff, { outcome, std::nullopt }, std::nullopt } } });
  }
  for (const auto& row : rows) {
    INFO(row.name_);
    const AnswerBatch batch{ kTerm, -77, row.answers_ };
    const auto decoded = DecodeAnswers(EncodeAnswers(batch));
    REQUIRE(IsOk(decoded));
    CHECK(ValueOf(decoded) == batch);
  }
}

// Guards against a job of many tasks that saturates the leader's network.
TEST_CASE("a payload shared by several starts is encoded once")
{
  constexpr std::size_t kPayload = 10000;
  constexpr std::uint32_t kStarts = 50;
  const std::string payload(kPayload, 'p');
  const std::string other(kPayload, 'o');
  std::vector<WorkerOrder> same;
  std::vector<WorkerOrder> two;
  std::vector<WorkerOrder> different;
  for (std::uint32_t i = 0; i < kStarts; ++i) {
    same.push_back(Start(i, payload));
    two.push_back(Start(i, i % 2 == 0 ? payload : other));
    different.push_back(Start(i, payload + std::to_string(i)));
  }
  const auto sizeOf = [](const std::vector<WorkerOrder>& aOrders) {
    return EncodeOrders(Batch(aOrders)).size();
  };
  const auto bare = sizeOf(std::vector<WorkerOrder>(kStarts, Start(0, "")));
  CHECK(sizeOf(same) >= bare + kPayload);
  CHECK(sizeOf(same) < bare + 2 * kPayload);
  CHECK(sizeOf(two) > bare + 2 * kPayload);
  CHECK(sizeOf(two) < bare + 3 * kPayload);
  CHECK(sizeOf(different) > bare + kStarts * kPayload);
}

// Guards against corrupt batches that crash the receiving node, or whose orders
// it sends although it cannot decode all of them.
TEST_CASE("corrupt bytes give an error")
{
  const auto orders = EncodeOrders(SampleOrders());
  const auto answers = EncodeAnswers(SampleAnswers());
  REQUIRE(IsOk(DecodeOrders(orders)));
  REQUIRE(IsOk(DecodeAnswers(answers)));
  struct Row
  {
    std::string name_;
    std::string orders_;
    std::string answers_;
  };
  std::vector<Row> rows{
    { "empty", "", "" },
    { "text", "{\"orders\":[]}", "{\"answers\":[]}" },
    { "the other format", answers, orders },
    { "one extra byte", orders + "\1", answers + "\1" },
    { "two batches", orders + orders, answers + answers },
    { "the other byte order",
      WithBytes(orders, 0, { '\0' }),
      WithBytes(answers, 0, { '\0' }) },
  };
  for (std::size_t i = 0; i < kVersionBytes; ++i) {
    const auto at = kVersionAt + i;
    rows.push_back(
      { "another format version, in byte " + std::to_string(i),
        WithBytes(orders, at, { static_cast<char>(orders[at] ^ 2) }),
        WithBytes(answers, at, { static_cast<char>(answers[at] ^ 2) }) });
  }
  for (const auto& row : rows) {
    INFO(row.name_);
    std::optional<Result<OrderBatch>> readOrders;
    std::optional<Result<AnswerBatch>> readAnswers;
    REQUIRE_NOTHROW(readOrders.emplace(DecodeOrders(row.orders_)));
    REQUIRE_NOTHROW(readAnswers.emplace(DecodeAnswers(row.answers_)));
    CHECK(IsBadRequest(*readOrders));
    CHECK(IsBadRequest(*readAnswers));
  }
}

// Guards against orders that are decoded as other orders, and answers that the
// leader takes for a refusal.
TEST_CASE("unknown values give an error")
{
  const auto orders = EncodeOrders(SampleOrders());
  const auto kindAt = orders.find(kWorkerBytes) - 4;
  const auto payloadAt = orders.find(kRunBytes) + kRunBytes.size();
  struct Row
  {
    const char* name_;
    std::size_t at_;
    std::string bytes_;
  };
  const std::vector<Row> orderRows{
    { "the first missing payload", payloadAt, { '\1' } },
    { "the highest payload index", payloadAt, "\xff\xff\xff\xff" },
    { "the first unknown kind", kindAt, { '\4' } },
    { "a negative kind", kindAt, "\xff\xff\xff\xff" },
  };
  for (const auto& row : orderRows) {
    INFO(row.name_);
    const auto bytes = WithBytes(orders, row.at_, row.bytes_);
    std::optional<Result<OrderBatch>> read;
    REQUIRE_NOTHROW(read.emplace(DecodeOrders(bytes)));
    CHECK(IsBadRequest(*read));
  }

  const auto answers = EncodeAnswers(SampleAnswers());
  const auto outcomeAt = answers.find(kAnswerIdBytes) + kAnswerIdBytes.size();
  const auto endAt = answers.find(kEndedRunBytes) + kEndedRunBytes.size();
  const std::vector<Row> answerRows{
    { "the first unknown outcome", outcomeAt, { '\13' } },
    { "the highest outcome", outcomeAt, "\xff" },
    { "the first unknown end", endAt, { '\10' } },
    { "the highest end", endAt, "\xff" },
  };
  for (const auto& row : answerRows) {
    INFO(row.name_);
    const auto bytes = WithBytes(answers, row.at_, row.bytes_);
    std::optional<Result<AnswerBatch>> read;
    REQUIRE_NOTHROW(read.emplace(DecodeAnswers(bytes)));
    CHECK(IsBadRequest(*read));
  }
}

// Guards against sending a part of the orders of a truncated batch.
TEST_CASE("truncated bytes give an error")
{
  const auto orders = EncodeOrders(SampleOrders());
  for (std::size_t size = 0; size < orders.size(); ++size) {
    INFO("orders, " << size << " bytes");
    std::optional<Result<OrderBatch>> read;
    REQUIRE_NOTHROW(read.emplace(DecodeOrders(orders.substr(0, size))));
    REQUIRE(IsBadRequest(*read));
  }
  const auto answers = EncodeAnswers(SampleAnswers());
  for (std::size_t size = 0; size < answers.size(); ++size) {
    INFO("answers, " << size << " bytes");
    std::optional<Result<AnswerBatch>> read;
    REQUIRE_NOTHROW(read.emplace(DecodeAnswers(answers.substr(0, size))));
    REQUIRE(IsBadRequest(*read));
  }
}

// Guards against a corrupt size that makes a node allocate too much memory.
TEST_CASE("a corrupt size allocates no memory")
{
  const auto peakKb = [] {
    rusage usage{};
    REQUIRE(getrusage(RUSAGE_SELF, &usage) == 0);
    return usage.ru_maxrss;
  };
  constexpr std::int64_t kMaxGrowthKb = 65536;
  const auto orders = EncodeOrders(SampleOrders());
  const auto answers = EncodeAnswers(SampleAnswers());
  // The lists of payloads and of answers follow two numbers of 8 bytes.
  const auto listAt = kVersionAt + kVersionBytes + 16;
  // The size of the first payload follows the size of the list.
  const auto textAt = listAt + 8;
  for (std::size_t byte = 3; byte < 8; ++byte) {
    INFO("byte " << byte);
    const auto before = peakKb();
    std::optional<Result<OrderBatch>> read;
    REQUIRE_NOTHROW(
      read.emplace(DecodeOrders(WithBytes(orders, listAt + byte, { '\1' }))));
    CHECK(IsBadRequest(*read));
    // A text of 256 MB or more.
    REQUIRE_NOTHROW(
      read.emplace(DecodeOrders(WithBytes(orders, textAt + byte, { '\20' }))));
    CHECK(IsBadRequest(*read));
    std::optional<Result<AnswerBatch>> readAnswers;
    REQUIRE_NOTHROW(readAnswers.emplace(
      DecodeAnswers(WithBytes(answers, listAt + byte, { '\1' }))));
    CHECK(IsBadRequest(*readAnswers));
    CHECK(peakKb() - before < kMaxGrowthKb);
  }
}
