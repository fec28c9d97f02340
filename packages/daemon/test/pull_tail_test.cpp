#include "daemon/peer_codec_func.h"
#include "daemon/pull_tail_base.h"
#include "state/fleet_base.h"
#include "state/text_func.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace acaciahill;

namespace {

constexpr std::size_t kManyEntries = 10000;
constexpr std::size_t kManyBytes = 1024UL * 1024;
constexpr std::size_t kLimit = 1000;

LogEntry
MakeEntry(std::uint64_t aIndex)
{
  return { aIndex, 1, EntryKind::Command, Concat("e", aIndex) };
}

/// Entries 1 to 9, of which 3 to 5 and 8 are claim commands; the logical time
/// after each is ten times its index.
PullTail
MakeTail()
{
  PullTail tail(kManyEntries, kManyBytes);
  for (std::uint64_t index = 1; index <= 9; ++index) {
    if ((index >= 3 && index <= 5) || index == 8) {
      tail.AddClaim(MakeEntry(index), index * 10);
    } else {
      tail.Add(MakeEntry(index));
    }
  }
  return tail;
}

using Entries = std::optional<std::vector<PulledEntry>>;

// Catch2 cannot decompose a comparison of variants.
bool
AreEqual(const Entries& aLeft, const Entries& aRight)
{
  return aLeft == aRight;
}

} // namespace

// Guards against entries that are lost, sent twice or sent out of order.
TEST_CASE("entries after an index are given in the form asked for")
{
  struct Row
  {
    std::uint64_t after_;
    bool withoutClaims_;
    std::size_t limit_;
    std::vector<PulledEntry> expected_;
  };
  const auto e = [](std::uint64_t aIndex) { return MakeEntry(aIndex); };
  const auto row = GENERATE_COPY(
    Row{ 9, true, kLimit, {} },
    Row{ 9, false, kLimit, {} },
    Row{ 5, false, kLimit, { e(6), e(7), e(8), e(9) } },
    Row{ 2, false, 2, { e(3), e(4) } },
    Row{ 5, true, kLimit, { e(6), e(7), ClaimRun{ 8, 8, 80 }, e(9) } },
    Row{ 1, true, 2, { e(2), ClaimRun{ 3, 5, 50 } } },
    Row{ 3, true, 2, { ClaimRun{ 4, 5, 50 }, e(6) } });
  CAPTURE(row.after_, row.withoutClaims_, row.limit_);
  CHECK(AreEqual(MakeTail().After(row.after_, row.withoutClaims_, row.limit_),
                 Entries(row.expected_)));
}

// Guards against gaps: a snapshot is needed by a node whose index is before the
// kept entries, and by one that needs claim commands of which only the run is
// kept.
TEST_CASE("entries that are not kept need a snapshot")
{
  PullTail tail(3, kManyBytes);
  CHECK(AreEqual(tail.After(0, false, kLimit), std::nullopt));
  for (std::uint64_t index = 1; index <= 5; ++index) {
    tail.Add(MakeEntry(index));
  }
  CHECK(AreEqual(tail.After(1, true, kLimit), std::nullopt));
  CHECK(tail.After(2, true, kLimit).has_value());
  tail.AddRun({ 6, 8, 80 });
  CHECK(AreEqual(tail.After(4, false, kLimit), std::nullopt));
  CHECK(AreEqual(tail.After(4, true, kLimit),
                 Entries({ MakeEntry(5), ClaimRun{ 6, 8, 80 } })));
  // A node that got a part of the run from another source gets the rest.
  CHECK(
    AreEqual(tail.After(7, true, kLimit), Entries({ ClaimRun{ 8, 8, 80 } })));
  tail.Clear();
  CHECK(AreEqual(tail.After(8, true, kLimit), std::nullopt));
  PullTail narrow(kManyEntries, 4);
  narrow.Add(MakeEntry(1));
  narrow.Add(MakeEntry(2));
  narrow.Add(MakeEntry(3));
  CHECK(AreEqual(narrow.After(0, true, kLimit), std::nullopt));
  CHECK(narrow.After(1, true, kLimit).has_value());
}

// Guards against claim runs that change places with entries on the wire, and
// against claim commands that are sent in a pull without claims.
TEST_CASE("a pull's answer keeps its order on the wire")
{
  const bool withoutClaims = GENERATE(true, false);
  PeerPullReply reply;
  reply.entries_ = *MakeTail().After(0, withoutClaims, kLimit);
  reply.withoutClaims_ = withoutClaims;
  const auto wire = ToWire(reply);
  const bool hasClaim =
    wire.SerializeAsString().find("e4") != std::string::npos;
  CHECK(hasClaim != withoutClaims);
  const auto read = FromWire(wire);
  CHECK(AreEqual(read.entries_, reply.entries_));
  CHECK(read.withoutClaims_ == withoutClaims);
  PeerPull pull;
  pull.withoutClaims_ = withoutClaims;
  CHECK(FromWire(ToWire(pull)).withoutClaims_ == withoutClaims);
}

namespace {

/// The state and tail of a replica like in ReplicaService, without threads and
/// connections.
class Replica
{
public:
  explicit Replica(bool aHoldsClaims)
    : tail_(40, kManyBytes)
  {
    if (!aHoldsClaims) {
      fleet_.DropClaims();
    }
  }

  void Apply(const LogEntry& aEntry)
  {
    const auto envelope = DecodeEnvelope(aEntry.data_);
    REQUIRE(IsOk(envelope));
    REQUIRE(aEntry.index_ == fleet_.AppliedIndex() + 1);
    fleet_.Apply(ValueOf(envelope), aEntry.index_);
    if (IsClaimCommand(ValueOf(envelope).command_)) {
      tail_.AddClaim(aEntry, fleet_.LogicalMs());
    } else {
      tail_.Add(aEntry);
    }
  }

  void Apply(const ClaimRun& aRun)
  {
    REQUIRE(aRun.firstIndex_ == fleet_.AppliedIndex() + 1);
    fleet_.SkipClaims(aRun.lastIndex_, aRun.logicalMs_);
    tail_.AddRun(aRun);
  }

  void PullFrom(const Replica& aSource, std::size_t aLimit)
  {
    if (aSource.fleet_.AppliedIndex() <= fleet_.AppliedIndex()) {
      return;
    }
    const auto entries =
      aSource.tail_.After(fleet_.AppliedIndex(), true, aLimit);
    if (entries) {
      for (const auto& entry : *entries) {
        std::visit([this](const auto& aOne) { Apply(aOne); }, entry);
      }
      return;
    }
    ++snapshots_;
    auto decoded =
      Fleet::DecodeSnapshot(aSource.fleet_.EncodeSnapshotWithoutClaims());
    REQUIRE(IsOk(decoded));
    fleet_ = ValueOf(std::move(decoded));
    tail_.Clear();
  }

  Fleet fleet_;
  PullTail tail_;
  int snapshots_ = 0;
};

CommandEnvelope
MakeCommand(std::mt19937& aRandom, std::uint64_t aIndex)
{
  const auto key = Concat("k", aRandom() % 8);
  const auto id = Concat("r", aIndex - aRandom() % 2);
  const std::uint64_t elapsed = aRandom() % 3000;
  switch (aRandom() % 6) {
    case 0:
      return { id,
               elapsed,
               RegisterNode{ { Concat("n", aRandom() % 3),
                               "z1",
                               Concat("a", aRandom() % 3),
                               "b",
                               false } } };
    case 1:
      return { id, elapsed, RemoveNode{ Concat("n", aRandom() % 3) } };
    case 2:
    case 3:
      return { id, elapsed, BeginClaim{ key, 1, "n1", "a1" } };
    default:
      return { id,
               elapsed,
               EndClaim{
                 key, "a1", ClaimEnd::Completed, 200, "t", "b", true } };
  }
}

} // namespace

// Guards against replicas without claims that miss or repeat entries when they
// pull alternately from a replica with claims and from each other, at any
// index.
TEST_CASE("replicas without claims stay equal over any sources, on 50 seeds")
{
  int snapshots = 0;
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    Replica whole(true);
    Replica first(false);
    Replica second(false);
    for (std::uint64_t index = 1; index <= 400; ++index) {
      whole.Apply(LogEntry{ index,
                            1,
                            EntryKind::Command,
                            EncodeEnvelope(MakeCommand(random, index)) });
      const std::size_t limit = random() % 10 == 0 ? 2 : kLimit;
      switch (random() % 24) {
        case 0:
          first.PullFrom(whole, limit);
          break;
        case 1:
          second.PullFrom(whole, limit);
          break;
        case 2:
          first.PullFrom(second, limit);
          break;
        case 3:
          second.PullFrom(first, limit);
          break;
        default:
          break;
      }
    }
    while (first.fleet_.AppliedIndex() < whole.fleet_.AppliedIndex()) {
      first.PullFrom(whole, kLimit);
    }
    while (second.fleet_.AppliedIndex() < first.fleet_.AppliedIndex()) {
      second.PullFrom(first, kLimit);
    }
    auto expected = whole.fleet_;
    expected.DropClaims();
    REQUIRE(first.fleet_ == expected);
    REQUIRE(second.fleet_ == expected);
    snapshots += first.snapshots_ + second.snapshots_;
  }
  // Both entries and snapshots must have been pulled.
  CHECK(snapshots >= 50);
}
