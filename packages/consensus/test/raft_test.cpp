#include "consensus/test/raft_network_base.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kStart{ 100s };
constexpr std::size_t kSnapshotRequestKind = 4;

VoterId
Id(const std::string& aNode)
{
  return { aNode, "disk-" + aNode };
}

const VoterSet kThree{ { Id("n1"), Id("n2"), Id("n3") } };

/// Entries from index 1 on with the given terms.
std::vector<LogEntry>
EntriesOfTerms(const std::vector<std::uint64_t>& aTerms)
{
  std::vector<LogEntry> entries;
  entries.reserve(aTerms.size());
  for (const auto term : aTerms) {
    entries.push_back({ entries.size() + 1, term, EntryKind::Command, "x" });
  }
  return entries;
}

/// A core of node n1 among three voters, to which the test passes each input.
class SteppedCore
{
public:
  SteppedCore(std::uint64_t aTerm,
              std::vector<LogEntry> aEntries,
              const VoterId& aSelf = Id("n1"))
    : core_({ aSelf,
              {},
              1,
              { aTerm, std::nullopt },
              { 0, 0, kThree, {} },
              std::move(aEntries) },
            kStart)
  {
  }

  std::vector<RaftAction> Tick(Millis aTime)
  {
    now_ += aTime;
    return core_.Step(TickInput{}, now_);
  }

  std::vector<RaftAction> Hear(const std::string& aFrom,
                               std::uint64_t aTerm,
                               decltype(RaftMessage::body_) aBody)
  {
    return core_.Step(
      MessageInput{ { aFrom, core_.Node(), aTerm, std::move(aBody) } }, now_);
  }

  std::vector<RaftAction> Elect()
  {
    Tick(4s);
    Hear("n2", core_.Term() + 1, VoteReply{ Id("n2"), true, true });
    return Hear("n2", core_.Term(), VoteReply{ Id("n2"), true, false });
  }

  std::uint64_t Round() const
  {
    return static_cast<std::uint64_t>(now_.time_since_epoch().count());
  }

  RaftCore core_;
  MonotonicTime now_ = kStart;
};

template<typename Body>
std::vector<Body>
Sent(const std::vector<RaftAction>& aActions)
{
  std::vector<Body> bodies;
  for (const auto& action : aActions) {
    if (const auto* send = std::get_if<SendMessage>(&action)) {
      if (const auto* body = std::get_if<Body>(&send->message_.body_)) {
        bodies.push_back(*body);
      }
    }
  }
  return bodies;
}

template<typename Action>
int
Count(const std::vector<RaftAction>& aActions)
{
  return static_cast<int>(std::count_if(
    aActions.begin(), aActions.end(), [](const RaftAction& aAction) {
      return std::holds_alternative<Action>(aAction);
    }));
}

/// All nodes except one.
std::vector<std::string>
Others(const RaftNetwork& aNet, const std::string& aNode)
{
  auto nodes = aNet.Nodes();
  std::erase(nodes, aNode);
  return nodes;
}

bool
Commits(RaftNetwork& aNet)
{
  aNet.WaitForLeader();
  const auto index = aNet.Propose("x");
  return index > 0 && aNet.RunUntil([&] { return aNet.Committed() >= index; });
}

} // namespace

// Guards against a group that elects no leader or commits nothing.
TEST_CASE("a group elects a leader, replicates and commits")
{
  const int voters = GENERATE(1, 2, 3, 5);
  RaftNetwork net(1, voters);
  REQUIRE_FALSE(net.WaitForLeader().empty());
  const auto index = net.Propose("a");
  CHECK(net.RunUntil([&] { return net.Committed() == index; }));
  CHECK(net.RunUntil([&] { return net.IsSettled(); }));
  CHECK(net.CommittedEntries().back().data_ == "a");
}

// Guards against a resignation that arrives late and ends a later leadership,
// and against a leader that goes on in its former term.
TEST_CASE("a leader that resigns is followed by one of a higher term")
{
  const int voters = GENERATE(1, 3);
  RaftNetwork net(1, voters);
  const auto leader = net.WaitForLeader();
  const auto term = net.Core(leader).Term();
  net.Step(leader, ResignInput{ term - 1 });
  CHECK(net.Core(leader).Role() == RaftRole::Leader);
  net.Step(leader, ResignInput{ term });
  CHECK(net.Core(leader).Role() != RaftRole::Leader);
  const auto next = net.WaitForLeader();
  REQUIRE_FALSE(next.empty());
  CHECK(net.Core(next).Term() > term);
  const auto index = net.Propose("a");
  CHECK(net.RunUntil([&] { return net.Committed() >= index; }));
  CHECK(net.RunUntil([&] { return net.IsSettled(); }));
}

// Guards against a single voter that waits for the votes of others.
TEST_CASE("a single voter leads at the first tick and commits alone")
{
  RaftNetwork net(1, 1);
  net.Run(100ms);
  REQUIRE(net.Leader() == "n1");
  const auto index = net.Propose("a");
  CHECK(net.Committed() == index);
}

// Guards against a majority that is counted wrongly in sets of even size.
TEST_CASE("half of the voters commit nothing")
{
  const int voters = GENERATE(2, 4);
  RaftNetwork net(1, voters);
  const auto leader = net.WaitForLeader();
  const auto others = Others(net, leader);
  for (std::size_t i = 0; i < others.size() / 2 + 1; ++i) {
    net.Crash(others[i]);
  }
  const auto committed = net.Committed();
  net.Propose("a");
  net.Run(10s);
  CHECK(net.Committed() == committed);
}

// Guards against a node that returns from isolation and deposes the leader.
TEST_CASE("a returning isolated node does not depose the leader")
{
  RaftNetwork net(1, 3);
  const auto leader = net.WaitForLeader();
  const auto term = net.Core(leader).Term();
  const auto node = Others(net, leader)[0];
  const bool oneWay = GENERATE(false, true);
  if (oneWay) {
    // The node receives nothing, but the others receive its messages.
    for (const auto& other : Others(net, node)) {
      net.Cut(other, node);
    }
  } else {
    net.Isolate(node);
  }
  net.Run(30s);
  net.Heal();
  net.Run(10s);
  CHECK(net.Leader() == leader);
  CHECK(net.Core(leader).Term() == term);
  CHECK(net.Core(node).Leader() == leader);
}

// Guards against an isolated leader that does not step down, and against the
// loss of entries that the others committed meanwhile.
TEST_CASE("an isolated leader steps down and its log is repaired")
{
  RaftNetwork net(1, 3);
  const auto old = net.WaitForLeader();
  const bool oneWay = GENERATE(false, true);
  if (oneWay) {
    for (const auto& other : Others(net, old)) {
      net.Cut(other, old);
    }
  } else {
    net.Isolate(old);
  }
  for (int i = 0; i < 10; ++i) {
    net.Propose("lost");
  }
  net.Run(2500ms);
  CHECK_FALSE(net.Core(old).HasQuorumContact(net.Now()));
  net.Run(1700ms);
  CHECK(net.Core(old).Role() != RaftRole::Leader);
  REQUIRE(net.RunUntil([&] { return !net.Leader().empty(); }));
  REQUIRE(Commits(net));
  net.Heal();
  CHECK(net.RunUntil([&] {
    return net.IsSettled() && net.At(old).applied_ == net.Committed();
  }));
}

// Guards against the replacement of a live leader by vote requests of a
// returning node, or with the vote of a voter that has just restarted.
TEST_CASE("a voter that hears a leader ignores vote requests")
{
  struct Row
  {
    const char* name_;
    bool heardLeader_;
    Millis age_;
    bool preVote_;
    bool answers_;
  };
  const auto row =
    GENERATE(Row{ "pre-vote, leader heard", true, 1999ms, true, false },
             Row{ "vote, leader heard", true, 1999ms, false, false },
             Row{ "pre-vote, silent leader", true, 2000ms, true, true },
             Row{ "vote, silent leader", true, 2000ms, false, true },
             Row{ "just restarted", false, 1999ms, false, false },
             Row{ "long restarted", false, 2000ms, false, true });
  INFO(row.name_);
  SteppedCore n1(1, {});
  if (row.heardLeader_) {
    n1.Tick(5s);
    n1.Hear("n2", 7, AppendRequest{});
  }
  n1.now_ += row.age_;
  const auto actions =
    n1.Hear("n3", 8, VoteRequest{ Id("n3"), 9, 7, row.preVote_ });
  CHECK(Sent<VoteReply>(actions).size() == (row.answers_ ? 1 : 0));
  CHECK((n1.core_.Term() == 8) == (row.answers_ && !row.preVote_));
}

// Guards against two votes in a term, and against a leader that lacks
// committed entries.
TEST_CASE("a vote goes to one candidate with a complete log")
{
  struct Row
  {
    const char* name_;
    VoteRequest request_;
    bool granted_;
  };
  const auto row =
    GENERATE(Row{ "same log", { Id("n2"), 2, 3, false }, true },
             Row{ "longer log", { Id("n2"), 3, 3, false }, true },
             Row{ "later term", { Id("n2"), 1, 4, false }, true },
             Row{ "shorter log", { Id("n2"), 1, 3, false }, false },
             Row{ "earlier term", { Id("n2"), 9, 2, false }, false });
  INFO(row.name_);
  SteppedCore n1(3, EntriesOfTerms({ 1, 3 }));
  n1.now_ += 2s;
  const auto actions = n1.Hear("n2", 5, row.request_);
  REQUIRE(Sent<VoteReply>(actions).size() == 1);
  CHECK(Sent<VoteReply>(actions)[0].granted_ == row.granted_);
  const auto other = n1.Hear("n3", 5, VoteRequest{ Id("n3"), 9, 4, false });
  CHECK(Sent<VoteReply>(other)[0].granted_ == !row.granted_);
}

// Guards against votes and candidacies of a node that lost its voter's disk.
TEST_CASE("a node with another disk id neither votes nor stands for election")
{
  SteppedCore n1(3, EntriesOfTerms({ 1 }), { "n1", "another-disk" });
  CHECK(n1.core_.Role() == RaftRole::Learner);
  for (int i = 0; i < 100; ++i) {
    CHECK(n1.Tick(1s).empty());
  }
  for (const bool preVote : { true, false }) {
    CHECK(n1.Hear("n2", 9, VoteRequest{ Id("n2"), 9, 9, preVote }).empty());
  }
}

// Guards against counting votes and acknowledgements from another disk, from an
// earlier term or from a node that is not a voter.
TEST_CASE("only present voters of this term count in a quorum")
{
  struct Row
  {
    const char* name_;
    VoterId voter_;
    std::uint64_t term_;
    bool counts_;
  };
  const auto row = GENERATE(Row{ "voter", Id("n2"), 2, true },
                            Row{ "another disk", { "n2", "new" }, 2, false },
                            Row{ "unknown voter", Id("n9"), 2, false },
                            Row{ "earlier term", Id("n2"), 1, false });
  INFO(row.name_);
  SteppedCore candidate(1, {});
  candidate.Tick(4s);
  candidate.Hear("n3", 2, VoteReply{ Id("n3"), true, true });
  REQUIRE(candidate.core_.Role() == RaftRole::Candidate);
  candidate.Hear(
    row.voter_.node_, row.term_, VoteReply{ row.voter_, true, false });
  CHECK((candidate.core_.Role() == RaftRole::Leader) == row.counts_);

  SteppedCore leader(1, {});
  leader.Elect();
  REQUIRE(leader.core_.Role() == RaftRole::Leader);
  const auto actions =
    leader.Hear(row.voter_.node_,
                row.term_,
                AppendReply{ row.voter_, true, 1, 0, leader.Round() });
  CHECK(Count<ApplyEntries>(actions) == (row.counts_ ? 1 : 0));
  CHECK(leader.core_.HasQuorumContact(leader.now_) == row.counts_);
  const bool unrecognizedDisk = row.voter_.disk_ == "new";
  CHECK(leader.core_.UnrecognizedVoters().size() == (unrecognizedDisk ? 1 : 0));
}

// Guards against a late reply that makes a repaired voter look like one that
// lost its disk.
TEST_CASE("a late reply from the old disk is ignored")
{
  SteppedCore n1(1, {});
  n1.Elect();
  const auto early = n1.Round();
  n1.Tick(500ms);
  n1.Hear("n2", 2, AppendReply{ Id("n2"), true, 1, 0, n1.Round() });
  CHECK(n1.core_.UnrecognizedVoters().empty());
  n1.Hear("n2", 2, AppendReply{ { "n2", "old" }, true, 1, 0, early });
  CHECK(n1.core_.UnrecognizedVoters().empty());
  n1.Tick(500ms);
  const VoterId renewed{ "n2", "new" };
  n1.Hear("n2", 2, AppendReply{ renewed, true, 1, 0, n1.Round() });
  CHECK(n1.core_.UnrecognizedVoters() == std::vector{ renewed });
}

// Guards against the commit of an entry that a later leader may replace.
TEST_CASE("entries of earlier terms are committed only by an own one")
{
  SteppedCore n1(2, EntriesOfTerms({ 1, 2 }));
  n1.Elect();
  REQUIRE(n1.core_.LastIndex() == 3);
  const auto early =
    n1.Hear("n2", 3, AppendReply{ Id("n2"), true, 2, 0, n1.Round() });
  CHECK(Count<ApplyEntries>(early) == 0);
  const auto own =
    n1.Hear("n2", 3, AppendReply{ Id("n2"), true, 3, 0, n1.Round() });
  CHECK(Count<ApplyEntries>(own) == 1);
  CHECK(n1.core_.CommitIndex() == 3);
}

// Guards against a process that resumes after a long pause and still acts as
// the leader although another one may have been elected.
TEST_CASE("a leader steps down after a pause of its process")
{
  SteppedCore n1(1, {});
  n1.Elect();
  n1.Hear("n2", 2, AppendReply{ Id("n2"), true, 1, 0, n1.Round() });
  CHECK(n1.core_.HasQuorumContact(n1.now_));
  const auto actions = n1.Tick(10s);
  CHECK(n1.core_.Role() == RaftRole::Follower);
  CHECK(Sent<AppendRequest>(actions).empty());
}

// Guards against a member that is taken to be up to date after it has lost
// contact with the group.
TEST_CASE("the last contact is that with the leader or with a quorum")
{
  SteppedCore follower(1, {});
  CHECK_FALSE(follower.core_.LastContact(follower.now_));
  follower.Hear("n2", 1, AppendRequest{});
  const auto heardAt = follower.now_;
  follower.Tick(1500ms);
  CHECK(follower.core_.LastContact(follower.now_) == heardAt);
  follower.Tick(4s);
  CHECK_FALSE(follower.core_.LastContact(follower.now_));

  SteppedCore leader(1, {});
  leader.Elect();
  CHECK_FALSE(leader.core_.LastContact(leader.now_));
  const auto sentAt = leader.now_;
  leader.Tick(500ms);
  leader.Hear(
    "n2", 2, AppendReply{ Id("n2"), true, 1, 0, leader.Round() - 500 });
  leader.Tick(1000ms);
  CHECK(leader.core_.LastContact(leader.now_) == sentAt);
}

// Guards against log repair that needs one exchange per conflicting entry, and
// against the rewriting of entries that do not conflict.
TEST_CASE("a conflicting log is backed up by whole terms")
{
  std::vector<std::uint64_t> terms(100, 1);
  terms.resize(600, 2);
  SteppedCore n1(2, EntriesOfTerms(terms));
  const auto reply =
    Sent<AppendReply>(n1.Hear("n2", 4, AppendRequest{ 500, 3, {}, 0, 1 }));
  REQUIRE(reply.size() == 1);
  CHECK_FALSE(reply[0].success_);
  CHECK(reply[0].conflictIndex_ == 101);

  auto entries = EntriesOfTerms(std::vector<std::uint64_t>(102, 1));
  entries[101].term_ = 3;
  entries.erase(entries.begin(), entries.begin() + 50);
  const auto actions =
    n1.Hear("n2", 4, AppendRequest{ 50, 1, entries, 102, 2 });
  CHECK(n1.core_.LastIndex() == 102);
  const auto save = std::get<SaveEntries>(actions.at(0));
  CHECK(save.entries_ == std::vector{ entries[50], entries[51] });
}

// Guards against the use of a voter set whose entry a later leader replaced.
TEST_CASE("a replaced voters entry is no longer in force")
{
  SteppedCore n1(1, {});
  const VoterSet two{ { Id("n2"), Id("n3") } };
  const LogEntry change{ 1, 2, EntryKind::Voters, EncodeVoters(two) };
  n1.Hear("n2", 2, AppendRequest{ 0, 0, { change }, 0, 1 });
  CHECK(n1.core_.Voters() == two);
  CHECK(n1.core_.Role() == RaftRole::Learner);
  const LogEntry other{ 1, 3, EntryKind::Empty, {} };
  n1.Hear("n3", 3, AppendRequest{ 0, 0, { other }, 0, 1 });
  CHECK(n1.core_.Voters() == kThree);
  CHECK(n1.core_.Role() == RaftRole::Follower);
}

// Guards against two concurrent changes, whose quorums need not overlap, and
// against changes that contradict the current voter set.
TEST_CASE("a change of the voters is refused unless it is safe")
{
  struct Row
  {
    const char* name_;
    bool committed_;
    std::vector<ChangeVoterInput> changes_;
    bool refused_;
  };
  const ChangeVoterInput remove{ 1, Id("n3"), false };
  const ChangeVoterInput add{ 2, { "n4", "d" }, true };
  const auto row = GENERATE_COPY(
    Row{ "remove", true, { remove }, false },
    Row{ "add", true, { add }, false },
    Row{ "nothing of this term committed", false, { remove }, true },
    Row{ "removal open", true, { remove, add }, true },
    Row{ "addition open", true, { add, remove }, true },
    Row{ "node still a voter", true, { { 3, { "n3", "other" }, true } }, true },
    Row{ "no such voter", true, { { 4, { "n3", "other" }, false } }, true });
  INFO(row.name_);
  SteppedCore n1(1, {});
  n1.Elect();
  if (row.committed_) {
    n1.Hear("n2", 2, AppendReply{ Id("n2"), true, 1, 0, n1.Round() });
  }
  std::vector<RaftAction> actions;
  for (const auto& change : row.changes_) {
    actions = n1.core_.Step(change, n1.now_);
  }
  CHECK(Count<ProposalRefused>(actions) == (row.refused_ ? 1 : 0));
}

// Guards against a removed leader that does not step down, and against the
// removal of the last voter.
TEST_CASE("a removed leader steps down once its removal is committed")
{
  RaftNetwork net(1, 2);
  const auto old = net.WaitForLeader();
  REQUIRE(Commits(net));
  net.Step(old, ChangeVoterInput{ 1, Id(old), false });
  CHECK(net.Leader() == old);
  REQUIRE(net.RunUntil([&] { return net.Leader() != old; }));
  CHECK(net.Core(old).Role() == RaftRole::Learner);
  CHECK(Commits(net));
  const auto left = net.Leader();
  net.Step(left, ChangeVoterInput{ 2, Id(left), false });
  CHECK(net.Core(left).Voters().voters_.size() == 1);
}

// Guards against the loss of a committed entry when a voter loses its disk, and
// against a repaired voter that does not count in the quorum.
TEST_CASE("a voter with a lost disk is replaced and loses nothing")
{
  RaftNetwork net(1, 3);
  const auto leader = net.WaitForLeader();
  const auto others = Others(net, leader);
  REQUIRE(Commits(net));
  net.Isolate(others[1]);
  REQUIRE(Commits(net));
  const auto committed = net.Committed();

  // The entry is now on the leader alone. The other two are a majority, but
  // one of them lacks the entry and the other one its disk.
  net.Crash(others[0]);
  net.LoseDisk(others[0]);
  net.Crash(leader);
  net.Start(others[0]);
  net.Heal();
  net.Run(60s);
  CHECK(net.Leader().empty());
  CHECK(net.Committed() == committed);

  net.Start(leader);
  REQUIRE_FALSE(net.WaitForLeader().empty());
  REQUIRE(net.RunUntil(
    [&] { return !net.Core(net.Leader()).UnrecognizedVoters().empty(); }));
  const VoterId renewed{ others[0], net.At(others[0]).disk_.diskId_ };
  CHECK(net.Core(net.Leader()).UnrecognizedVoters() == std::vector{ renewed });
  REQUIRE(net.RunUntil([&] {
    net.RepairVoters();
    return net.Core(others[0]).Role() != RaftRole::Learner &&
           net.Core(others[0]).Voters().voters_.size() == 3;
  }));
  CHECK(net.CommittedEntries().size() > committed);

  // The loss of a second VM just after the repair.
  net.Crash(leader);
  CHECK(Commits(net));
}

// Guards against the commit of an addition before the new voter can vote: after
// the loss of another voter the group would have no quorum.
TEST_CASE("an added voter stores its addition before it is committed")
{
  SteppedCore n1(1, {});
  n1.Elect();
  n1.Hear("n2", 2, AppendReply{ Id("n2"), true, 1, 0, n1.Round() });
  const VoterId added{ "n4", "d" };
  n1.core_.Step(ChangeVoterInput{ 1, added, true }, n1.now_);
  n1.Hear("n4", 2, AppendReply{ added, true, 1, 0, n1.Round() });
  REQUIRE(n1.core_.Voters().voters_.size() == 4);
  for (const auto* node : { "n2", "n3" }) {
    n1.Hear(node, 2, AppendReply{ Id(node), true, 2, 0, n1.Round() });
  }
  CHECK(n1.core_.CommitIndex() == 1);
  const bool answers = GENERATE(true, false);
  if (answers) {
    n1.Hear("n4", 2, AppendReply{ added, true, 2, 0, n1.Round() });
  } else {
    n1.Tick(2s);
  }
  CHECK(n1.core_.CommitIndex() == 2);
}

// Guards against an addition that blocks all other changes forever because the
// new voter does not answer.
TEST_CASE("an addition without any advance is given up")
{
  RaftNetwork net(1, 3);
  const auto leader = net.WaitForLeader();
  REQUIRE(Commits(net));
  net.Step(leader, ChangeVoterInput{ 1, { "n9", "d" }, true });
  net.Run(39s);
  net.Step(leader, ChangeVoterInput{ 2, Id(leader), false });
  CHECK(net.Core(leader).Voters() == kThree);
  net.Run(2s);
  net.Step(leader, ChangeVoterInput{ 3, Id(leader), false });
  CHECK(net.Core(leader).Voters().voters_.size() == 2);
}

// Guards against a follower that cannot catch up once the leader has compacted
// its log, also when the first snapshot is lost.
TEST_CASE("a follower that lags behind the log gets a snapshot")
{
  RaftNetwork net(1, 3);
  const auto leader = net.WaitForLeader();
  const auto late = Others(net, leader)[0];
  net.Isolate(late);
  // More entries than the leader keeps after compaction (1024).
  for (int i = 0; i < 3000; ++i) {
    net.Propose("x");
  }
  REQUIRE(net.RunUntil([&] { return net.At(leader).applied_ > 3000; }));
  net.Compact(leader);
  CHECK(net.Core(leader).SnapshotIndex() > 3000);
  net.Heal();
  const bool lost = GENERATE(false, true);
  if (lost) {
    const auto sent = net.Sent(kSnapshotRequestKind);
    for (int i = 0; i < 10000 && net.Sent(kSnapshotRequestKind) == sent; ++i) {
      net.Run(1ms);
    }
    net.Cut(leader, late);
    net.Run(1500ms);
    CHECK(net.At(late).applied_ < 3000);
    net.Heal();
  }
  CHECK(net.RunUntil([&] { return net.IsSettled(); }));
  CHECK(net.At(late).disk_.snapshot_.lastIndex_ > 3000);
  CHECK(Commits(net));
}

// Guards against requests that delay heartbeats, and against sending the same
// entries again and again to a node that does not answer.
TEST_CASE("requests are bounded and open ones are not repeated")
{
  SteppedCore n1(1, {});
  n1.Elect();
  for (const auto* node : { "n2", "n3" }) {
    n1.Hear(node, 2, AppendReply{ Id(node), true, 0, 0, n1.Round() });
  }
  const auto size = GENERATE(std::size_t{ 10 }, std::size_t{ 100000 });
  for (int i = 0; i < 1000; ++i) {
    const auto actions =
      n1.core_.Step(ProposeInput{ 1, std::string(size, 'x') }, n1.now_);
    CHECK(Count<SendMessage>(actions) == 0);
  }
  for (int i = 0; i < 4; ++i) {
    const auto heartbeats = n1.Tick(500ms);
    CHECK(Count<SendMessage>(heartbeats) == 2);
    for (const auto& request : Sent<AppendRequest>(heartbeats)) {
      CHECK(request.entries_.empty());
    }
    CHECK(Sent<AppendRequest>(heartbeats).size() == 2);
  }
  const auto sent = Sent<AppendRequest>(
    n1.Hear("n2", 2, AppendReply{ Id("n2"), true, 1, 0, n1.Round() }));
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].entries_.size() == (size == 10 ? 256 : 5));
}

// Guards against a large snapshot that is sent again and again while the first
// one is still on its way.
TEST_CASE("a snapshot is sent again only after an election timeout")
{
  SteppedCore n1(1, {});
  n1.Elect();
  for (int i = 0; i < 2000; ++i) {
    n1.core_.Step(ProposeInput{ 1, "x" }, n1.now_);
  }
  n1.Hear("n2", 2, AppendReply{ Id("n2"), true, 2001, 0, n1.Round() });
  REQUIRE(n1.core_.CommitIndex() == 2001);
  n1.core_.Step(CompactInput{ 2001, "state" }, n1.now_);
  const auto hearLagging = [&n1] {
    n1.Hear("n2", 2, AppendReply{ Id("n2"), true, 2001, 0, n1.Round() });
    return Sent<SnapshotRequest>(
      n1.Hear("n3", 2, AppendReply{ Id("n3"), false, 0, 1, n1.Round() }));
  };
  // The bootstrap snapshot was sent after the election.
  for (int i = 0; i < 3; ++i) {
    n1.Tick(500ms);
    CHECK(hearLagging().empty());
  }
  n1.Tick(500ms);
  const auto sent = hearLagging();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].snapshot_.lastIndex_ == 2001);
  n1.Tick(500ms);
  CHECK(hearLagging().empty());
}

// Guards against a follower that learns of a commit only with the next entry.
TEST_CASE("the commit index reaches followers at once and with heartbeats")
{
  SteppedCore n1(1, {});
  n1.Elect();
  n1.Hear("n2", 2, AppendReply{ Id("n2"), true, 0, 0, n1.Round() });
  const auto sent = Sent<AppendRequest>(
    n1.Hear("n2", 2, AppendReply{ Id("n2"), true, 1, 0, n1.Round() }));
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].commitIndex_ == 1);
  for (const auto& request : Sent<AppendRequest>(n1.Tick(500ms))) {
    CHECK(request.commitIndex_ == 1);
  }
}

// Guards against extra messages for commits that followers need not learn of at
// once, and against such a commit that is never announced.
TEST_CASE("a commit that needs no announcement goes with the next message")
{
  SteppedCore n1(1, {});
  n1.Elect();
  n1.Hear("n2", 2, AppendReply{ Id("n2"), true, 1, 0, n1.Round() });
  n1.Hear("n3", 2, AppendReply{ Id("n3"), true, 1, 0, n1.Round() });
  const auto store = [&n1](const char* aNode, std::uint64_t aIndex) {
    return Sent<AppendRequest>(
      n1.Hear(aNode, 2, AppendReply{ Id(aNode), true, aIndex, 0, n1.Round() }));
  };
  n1.core_.Step(ProposeInput{ 1, "quiet", false }, n1.now_);
  CHECK(store("n2", 2).empty());
  CHECK(store("n3", 2).empty());
  CHECK(n1.core_.CommitIndex() == 2);
  const auto isTold = [](const std::vector<AppendRequest>& aSent,
                         std::uint64_t aIndex) {
    return aSent.size() == 2 && aSent[0].commitIndex_ == aIndex &&
           aSent[1].commitIndex_ == aIndex;
  };
  SECTION("a heartbeat")
  {
    CHECK(isTold(Sent<AppendRequest>(n1.Tick(500ms)), 2));
  }
  SECTION("the next entry")
  {
    CHECK(isTold(Sent<AppendRequest>(
                   n1.core_.Step(ProposeInput{ 2, "quiet", false }, n1.now_)),
                 2));
  }
  SECTION("the commit of an entry that is announced")
  {
    n1.core_.Step(ProposeInput{ 2, "announced" }, n1.now_);
    n1.core_.Step(ProposeInput{ 3, "quiet", false }, n1.now_);
    const auto sent = store("n2", 3);
    REQUIRE_FALSE(sent.empty());
    CHECK(sent[0].commitIndex_ == 3);
  }
}
