#include "daemon/peer_codec_func.h"

#include "consensus/raft_base.h"

#include <algorithm>

namespace acaciahill {

namespace {

constexpr std::uint32_t kDrainingFlag = 1;

std::uint32_t
ToWireMs(Millis aAge)
{
  const auto count = std::clamp<std::int64_t>(aAge.count(), 0, UINT32_MAX);
  return static_cast<std::uint32_t>(count);
}

void
WriteTasks(const VmTaskReports& aReports, Millis aAge, wire::VmTasks& aWire)
{
  aWire.set_target_number(aReports.number_);
  aWire.set_incarnation(aReports.incarnation_);
  aWire.set_age_ms(ToWireMs(aAge));
  for (const auto& report : aReports.tasks_) {
    auto& task = *aWire.add_tasks();
    task.set_task(report.task_);
    task.set_lease(report.lease_);
    task.set_state(report.state_);
    task.set_milli_cores(report.milliCores_);
    task.set_memory_mb(report.memoryMb_);
    task.set_usage_age_ms(ToWireMs(report.usageAge_));
  }
}

VmTaskReports
ReadTasks(const wire::VmTasks& aWire)
{
  VmTaskReports reports;
  reports.number_ = aWire.target_number();
  reports.incarnation_ = aWire.incarnation();
  for (const auto& task : aWire.tasks()) {
    reports.tasks_.push_back({ task.task(),
                               task.lease(),
                               task.state(),
                               task.milli_cores(),
                               task.memory_mb(),
                               Millis(task.usage_age_ms()) });
  }
  return reports;
}

void
WriteDigest(const DigestMessage& aDigest, wire::Digest& aWire)
{
  for (const auto& [evidence, age] : aDigest.targets_) {
    aWire.add_target_number(evidence.number_);
    aWire.add_target_incarnation(evidence.incarnation_);
    aWire.add_target_epoch(evidence.epoch_);
    aWire.add_target_running(evidence.running_);
    aWire.add_target_age_ms(ToWireMs(age));
    aWire.add_target_flags(evidence.draining_ ? kDrainingFlag : 0);
  }
  for (const auto& [status, age] : aDigest.nodes_) {
    auto& node = *aWire.add_nodes();
    node.set_node(status.node_);
    node.set_applied(status.appliedIndex_);
    node.set_table_version(status.tableVersion_);
    node.set_age_ms(ToWireMs(age));
    for (const auto& [number, count] : status.inFlight_) {
      node.add_draining_target(number);
      node.add_in_flight(count);
    }
    for (const auto& [pool, load] : status.loads_) {
      node.add_load_pool(pool);
      node.add_load_in_flight(load.inFlight_);
      node.add_load_queued(load.queued_);
      node.add_load_refused(load.refused_);
    }
  }
  for (const auto& [reports, age] : aDigest.tasks_) {
    WriteTasks(reports, age, *aWire.add_tasks());
  }
  aWire.set_clock_ms(aDigest.clockMs_);
  aWire.set_boot(aDigest.boot_);
  aWire.set_echo_clock_ms(aDigest.echoClockMs_);
  aWire.set_echo_boot(aDigest.echoBoot_);
  aWire.set_echo_age_ms(ToWireMs(aDigest.echoAge_));
}

DigestMessage
ReadDigest(const wire::Digest& aWire)
{
  DigestMessage digest;
  // The columns differ in length only if the sender is faulty; the rows that
  // all of them have are read.
  const int count = std::min({ aWire.target_number_size(),
                               aWire.target_incarnation_size(),
                               aWire.target_epoch_size(),
                               aWire.target_running_size(),
                               aWire.target_age_ms_size(),
                               aWire.target_flags_size() });
  for (int i = 0; i < count; ++i) {
    digest.targets_.push_back({ { aWire.target_number(i),
                                  aWire.target_incarnation(i),
                                  aWire.target_epoch(i),
                                  (aWire.target_flags(i) & kDrainingFlag) != 0,
                                  aWire.target_running(i),
                                  MonotonicTime{} },
                                Millis(aWire.target_age_ms(i)) });
  }
  for (const auto& node : aWire.nodes()) {
    NodeStatus status;
    status.node_ = node.node();
    status.appliedIndex_ = node.applied();
    status.tableVersion_ = node.table_version();
    const int targets =
      std::min(node.draining_target_size(), node.in_flight_size());
    for (int i = 0; i < targets; ++i) {
      status.inFlight_[node.draining_target(i)] = node.in_flight(i);
    }
    const int pools = std::min({ node.load_pool_size(),
                                 node.load_in_flight_size(),
                                 node.load_queued_size(),
                                 node.load_refused_size() });
    for (int i = 0; i < pools; ++i) {
      status.loads_[node.load_pool(i)] = { node.load_in_flight(i),
                                           node.load_queued(i),
                                           node.load_refused(i) };
    }
    digest.nodes_.push_back({ status, Millis(node.age_ms()) });
  }
  for (const auto& vm : aWire.tasks()) {
    digest.tasks_.push_back({ ReadTasks(vm), Millis(vm.age_ms()) });
  }
  digest.clockMs_ = aWire.clock_ms();
  digest.boot_ = aWire.boot();
  digest.echoClockMs_ = aWire.echo_clock_ms();
  digest.echoBoot_ = aWire.echo_boot();
  digest.echoAge_ = Millis(aWire.echo_age_ms());
  return digest;
}

void
WriteEntry(const LogEntry& aEntry, wire::Entry& aWire)
{
  aWire.set_index(aEntry.index_);
  aWire.set_term(aEntry.term_);
  aWire.set_kind(static_cast<std::uint32_t>(aEntry.kind_));
  aWire.set_data(aEntry.data_);
}

LogEntry
ReadEntry(const wire::Entry& aWire)
{
  return { aWire.index(),
           aWire.term(),
           static_cast<EntryKind>(aWire.kind()),
           aWire.data() };
}

void
WriteVoter(const VoterId& aVoter, wire::Voter& aWire)
{
  aWire.set_node(aVoter.node_);
  aWire.set_disk(aVoter.disk_);
}

VoterId
ReadVoter(const wire::Voter& aWire)
{
  return { aWire.node(), aWire.disk() };
}

/// Writes a message body to the envelope field for its type.
struct BodyWriter
{
  wire::RaftEnvelope& envelope_;

  void operator()(const VoteRequest& aBody) const
  {
    auto& wire = *envelope_.mutable_vote_request();
    WriteVoter(aBody.candidate_, *wire.mutable_candidate());
    wire.set_last_index(aBody.lastIndex_);
    wire.set_last_term(aBody.lastTerm_);
    wire.set_pre_vote(aBody.preVote_);
  }

  void operator()(const VoteReply& aBody) const
  {
    auto& wire = *envelope_.mutable_vote_reply();
    WriteVoter(aBody.voter_, *wire.mutable_voter());
    wire.set_granted(aBody.granted_);
    wire.set_pre_vote(aBody.preVote_);
  }

  void operator()(const AppendRequest& aBody) const
  {
    auto& wire = *envelope_.mutable_append_request();
    wire.set_previous_index(aBody.previousIndex_);
    wire.set_previous_term(aBody.previousTerm_);
    for (const auto& entry : aBody.entries_) {
      WriteEntry(entry, *wire.add_entries());
    }
    wire.set_commit_index(aBody.commitIndex_);
    wire.set_round(aBody.round_);
  }

  void operator()(const AppendReply& aBody) const
  {
    auto& wire = *envelope_.mutable_append_reply();
    WriteVoter(aBody.voter_, *wire.mutable_voter());
    wire.set_success(aBody.success_);
    wire.set_match_index(aBody.matchIndex_);
    wire.set_conflict_index(aBody.conflictIndex_);
    wire.set_round(aBody.round_);
  }

  void operator()(const SnapshotRequest& aBody) const
  {
    auto& wire = *envelope_.mutable_snapshot_request();
    wire.set_last_index(aBody.snapshot_.lastIndex_);
    wire.set_last_term(aBody.snapshot_.lastTerm_);
    wire.set_configuration(EncodeVoters(aBody.snapshot_.voters_));
    wire.set_data(aBody.snapshot_.data_);
    wire.set_round(aBody.round_);
  }
};

std::optional<RaftMessage>
ReadRaftMessage(const wire::RaftEnvelope& aEnvelope)
{
  RaftMessage message;
  message.from_ = aEnvelope.from();
  message.to_ = aEnvelope.to();
  message.term_ = aEnvelope.term();
  switch (aEnvelope.message_case()) {
    case wire::RaftEnvelope::kVoteRequest: {
      const auto& wire = aEnvelope.vote_request();
      message.body_ = VoteRequest{ ReadVoter(wire.candidate()),
                                   wire.last_index(),
                                   wire.last_term(),
                                   wire.pre_vote() };
      return message;
    }
    case wire::RaftEnvelope::kVoteReply: {
      const auto& wire = aEnvelope.vote_reply();
      message.body_ =
        VoteReply{ ReadVoter(wire.voter()), wire.granted(), wire.pre_vote() };
      return message;
    }
    case wire::RaftEnvelope::kAppendRequest: {
      const auto& wire = aEnvelope.append_request();
      AppendRequest body{
        wire.previous_index(), wire.previous_term(), {}, 0, 0
      };
      for (const auto& entry : wire.entries()) {
        body.entries_.push_back(ReadEntry(entry));
      }
      body.commitIndex_ = wire.commit_index();
      body.round_ = wire.round();
      message.body_ = std::move(body);
      return message;
    }
    case wire::RaftEnvelope::kAppendReply: {
      const auto& wire = aEnvelope.append_reply();
      message.body_ = AppendReply{ ReadVoter(wire.voter()),
                                   wire.success(),
                                   wire.match_index(),
                                   wire.conflict_index(),
                                   wire.round() };
      return message;
    }
    case wire::RaftEnvelope::kSnapshotRequest: {
      const auto& wire = aEnvelope.snapshot_request();
      message.body_ = SnapshotRequest{ { wire.last_index(),
                                         wire.last_term(),
                                         DecodeVoters(wire.configuration()),
                                         wire.data() },
                                       wire.round() };
      return message;
    }
    case wire::RaftEnvelope::MESSAGE_NOT_SET:
      break;
  }
  return std::nullopt;
}

} // namespace

wire::RaftEnvelope
ToWire(const PeerRaft& aRaft)
{
  wire::RaftEnvelope envelope;
  envelope.set_cluster(aRaft.cluster_);
  envelope.set_from(aRaft.from_);
  if (aRaft.message_) {
    envelope.set_to(aRaft.message_->to_);
    envelope.set_term(aRaft.message_->term_);
    std::visit(BodyWriter{ envelope }, aRaft.message_->body_);
  }
  WriteDigest(aRaft.digest_, *envelope.mutable_digest());
  return envelope;
}

PeerRaft
FromWire(const wire::RaftEnvelope& aEnvelope)
{
  return { aEnvelope.cluster(),
           aEnvelope.from(),
           ReadRaftMessage(aEnvelope),
           ReadDigest(aEnvelope.digest()) };
}

wire::PullRequest
ToWire(const PeerPull& aPull)
{
  wire::PullRequest request;
  request.set_cluster(aPull.cluster_);
  request.set_node(aPull.node_);
  request.set_disk(aPull.disk_);
  request.set_applied(aPull.applied_);
  request.set_wait_ms(ToWireMs(aPull.wait_));
  WriteDigest(aPull.digest_, *request.mutable_digest());
  request.set_without_claims(aPull.withoutClaims_);
  return request;
}

PeerPull
FromWire(const wire::PullRequest& aRequest)
{
  return { aRequest.cluster(),
           aRequest.node(),
           aRequest.disk(),
           aRequest.applied(),
           Millis(aRequest.wait_ms()),
           ReadDigest(aRequest.digest()),
           aRequest.without_claims() };
}

wire::PullReply
ToWire(const PeerPullReply& aReply)
{
  wire::PullReply reply;
  for (const auto& pulled : aReply.entries_) {
    if (const auto* entry = std::get_if<LogEntry>(&pulled)) {
      WriteEntry(*entry, *reply.add_entries());
    } else if (const auto* run = std::get_if<ClaimRun>(&pulled)) {
      auto& wire = *reply.add_claim_runs();
      wire.set_first_index(run->firstIndex_);
      wire.set_last_index(run->lastIndex_);
      wire.set_logical_ms(run->logicalMs_);
    }
  }
  reply.set_without_claims(aReply.withoutClaims_);
  reply.set_snapshot(aReply.snapshot_);
  reply.set_snapshot_index(aReply.snapshotIndex_);
  reply.set_leader(aReply.leader_);
  reply.set_control_age_ms(ToWireMs(aReply.controlAge_));
  WriteDigest(aReply.digest_, *reply.mutable_digest());
  return reply;
}

PeerPullReply
FromWire(const wire::PullReply& aReply)
{
  PeerPullReply reply;
  // Merges entries and claim runs in the order of their indices.
  int runs = 0;
  const auto readRunsBefore = [&](std::uint64_t aIndex) {
    for (; runs < aReply.claim_runs_size() &&
           aReply.claim_runs(runs).first_index() < aIndex;
         ++runs) {
      const auto& run = aReply.claim_runs(runs);
      reply.entries_.emplace_back(
        ClaimRun{ run.first_index(), run.last_index(), run.logical_ms() });
    }
  };
  for (const auto& entry : aReply.entries()) {
    readRunsBefore(entry.index());
    reply.entries_.emplace_back(ReadEntry(entry));
  }
  readRunsBefore(UINT64_MAX);
  reply.withoutClaims_ = aReply.without_claims();
  reply.snapshot_ = aReply.snapshot();
  reply.snapshotIndex_ = aReply.snapshot_index();
  reply.leader_ = aReply.leader();
  reply.controlAge_ = Millis(aReply.control_age_ms());
  reply.digest_ = ReadDigest(aReply.digest());
  return reply;
}

} // namespace acaciahill
