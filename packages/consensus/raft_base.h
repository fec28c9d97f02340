#pragma once

#include "consensus/raft_type.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace acaciahill {

/// The replicated log's protocol as a state machine without I/O: Raft with
/// pre-vote, check-quorum, learners and changes of one voter at a time.
class RaftCore
{
public:
  /// Takes over what the disk holds. The state machine must have been restored
  /// from the snapshot, if there is one; committed entries after it are handed
  /// out again as the group confirms them.
  RaftCore(RaftStart aStart, MonotonicTime aNow);

  /// Handles one input and returns what the shell must do, in order.
  std::vector<RaftAction> Step(const RaftInput& aInput, MonotonicTime aNow);

  RaftRole Role() const { return role_; }
  std::uint64_t Term() const { return hardState_.term_; }
  /// Node id of the known leader; empty when unknown.
  const std::string& Leader() const { return leader_; }
  std::uint64_t CommitIndex() const { return commitIndex_; }
  std::uint64_t LastIndex() const;
  /// Index of the snapshot below which the log is compacted.
  std::uint64_t SnapshotIndex() const { return snapshot_.lastIndex_; }
  /// The voters in force (the last set in the log).
  const VoterSet& Voters() const { return voters_; }
  /// True when this member leads and has heard a quorum within an election
  /// timeout.
  bool HasQuorumContact(MonotonicTime aNow) const;

private:
  // The implementing engineer completes the private part.
  VoterId self_;
  RaftTiming timing_;
  std::mt19937_64 random_;
  RaftRole role_ = RaftRole::Learner;
  HardState hardState_;
  Snapshot snapshot_;
  std::vector<LogEntry> entries_;
  VoterSet voters_;
  std::string leader_;
  std::uint64_t commitIndex_ = 0;
};

/// A voter set in the form of a Voters entry's data.
std::string
EncodeVoters(const VoterSet& aVoters);

/// Reads EncodeVoters' form; an empty set when it is damaged.
VoterSet
DecodeVoters(const std::string& aData);

} // namespace acaciahill
