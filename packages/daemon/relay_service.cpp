#include "daemon/relay_service_base.h"

#include "daemon/claim_committer_base.h"
#include "kernel/error_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"

#include <algorithm>

namespace acaciahill {

namespace {

// The usable targets are recomputed at this interval, and at once after a
// change of the state.
constexpr Millis kRefreshInterval{ 200 };
constexpr Millis kProbeInterval{ 250 };
// A target that was asked to announce itself is asked again after this time.
constexpr Millis kNotifyInterval{ 1000 };
constexpr Millis kProbeTimeout{ 500 };
// Maximum number of probes in one round; the other silent targets are probed in
// the following rounds.
constexpr std::size_t kProbesPerRound = 8;

/// The table's rows, and the numbers of nodes that share the targets.
PoolsChanged
PoolsOf(const Fleet& aFleet, const std::string& aZone)
{
  PoolsChanged pools;
  for (const auto& [name, row] : aFleet.Table().rows_) {
    pools.rows_.push_back(row);
  }
  const auto& nodes = aFleet.Nodes();
  const auto inZone =
    std::count_if(nodes.begin(), nodes.end(), [&aZone](const auto& aItem) {
      return aItem.second.zone_ == aZone;
    });
  pools.entryNodes_ =
    std::max<std::int64_t>(1, static_cast<std::int64_t>(nodes.size()));
  pools.entryNodesInZone_ = std::max<std::int64_t>(1, inZone);
  return pools;
}

} // namespace

RelayService::RelayService(const DaemonSettings& aSettings,
                           const ServiceRegistry& aRegistry,
                           TraceSink& aTraces,
                           Metrics& aMetrics)
  : settings_(aSettings)
  , registry_(aRegistry)
  , traces_(aTraces)
  , metrics_(aMetrics)
{
}

RelayService::~RelayService()
{
  Stop();
}

Result<Done>
RelayService::Start()
{
  replica_ = &registry_.Find<ReplicaService>(kReplicaServiceName);
  directory_ = &registry_.Find<DirectoryService>(kDirectoryServiceName);
  claims_ = std::make_unique<ClaimCommitter>(
    settings_.node_,
    [this](const Command& aCommand, const std::string& aId, Millis aTimeout) {
      return replica_->Propose(aCommand, aId, aTimeout);
    },
    [this] { return replica_->Control().stale_; });
  relay_ = std::make_unique<Relay>(
    settings_.relay_, *claims_, *this, traces_, metrics_);
  auto started = relay_->Start();
  if (!IsOk(started)) {
    return started;
  }
  threads_.emplace_back([this] { RunRefresh(); });
  threads_.emplace_back([this] { RunProbes(); });
  threads_.emplace_back([this] { claims_->Run(); });
  return Done{};
}

void
RelayService::Drain()
{
  if (!drained_ && relay_) {
    drained_ = true;
    relay_->Stop(settings_.stopGrace_);
  }
}

void
RelayService::Stop()
{
  Drain();
  if (stopping_.exchange(true)) {
    return;
  }
  if (claims_) {
    claims_->Stop();
  }
  for (auto& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

void
RelayService::RunRefresh()
{
  while (!stopping_) {
    const auto applied = replica_->AppliedIndex();
    Refresh();
    replica_->WaitApplied(applied + 1, kRefreshInterval);
  }
}

void
RelayService::Refresh()
{
  const auto now = MonotonicNow();
  NodeStatus status;
  status.node_ = settings_.node_;
  status.madeAt_ = now;
  TargetsChanged targets;
  std::optional<PoolsChanged> pools;
  std::map<std::string, std::uint32_t> drainingVms;

  const auto evidence = directory_->Targets();
  const bool isCurrent = !replica_->Control().stale_;
  replica_->Read([&](const Fleet& aFleet) {
    status.appliedIndex_ = aFleet.AppliedIndex();
    status.tableVersion_ = aFleet.Table().version_;
    if (refreshedIndex_ != aFleet.AppliedIndex() || !pools_ ||
        pools_->isCurrent_ != isCurrent) {
      pools = PoolsOf(aFleet, settings_.zone_);
      pools->isCurrent_ = isCurrent;
    }
    for (const auto& [id, vm] : aFleet.Vms()) {
      const auto vmEvidence = FindEvidence(evidence, vm.number_);
      if (vm.phase_ == VmPhase::Draining) {
        drainingVms.emplace(id, vm.number_);
      }
      if (!MayRoute(vm, vmEvidence, now, settings_.routingLease_)) {
        continue;
      }
      targets.targets_.push_back(
        { id,
          vm.pool_,
          vm.identity_.zone_,
          vm.identity_.address_,
          vm.epoch_,
          vm.identity_.slots_,
          vm.identity_.connections_,
          vmEvidence->running_,
          vmEvidence->madeAt_ + settings_.routingLease_ });
    }
    directory_->Retain(aFleet.Vms(), aFleet.Nodes());
  });

  refreshedIndex_ = status.appliedIndex_;
  if (pools && pools_ != pools) {
    pools_ = pools;
    relay_->SetPools(*pools);
  }
  relay_->SetTargets(targets);
  // The order matters: the index is reported as applied only after the relay
  // has stopped using the targets that were removed, and the in-flight counts
  // are read after that.
  for (const auto& [id, count] : relay_->InFlight()) {
    const auto found = drainingVms.find(id);
    if (found != drainingVms.end()) {
      status.inFlight_[found->second] = count;
    }
  }
  for (const auto& [pool, load] : relay_->Loads()) {
    if (load.inFlight_ + load.queued_ + load.refused_ > 0) {
      status.loads_[pool] = { static_cast<std::uint32_t>(load.inFlight_),
                              static_cast<std::uint32_t>(load.queued_),
                              static_cast<std::uint64_t>(load.refused_) };
    }
  }
  directory_->UpdateNode(status);
}

void
RelayService::RunProbes()
{
  while (!stopping_) {
    std::this_thread::sleep_for(kProbeInterval);
    ProbeSilentTargets();
    if (replica_->Control().isLeader_) {
      NotifyTargets();
    }
  }
}

void
RelayService::ProbeSilentTargets()
{
  const auto now = MonotonicNow();
  // A target is probed before its evidence expires; normally announcements
  // renew the evidence earlier.
  const auto due = settings_.routingLease_ * 3 / 5;
  const auto evidence = directory_->Targets();
  std::vector<std::pair<MonotonicTime, VmIdentity>> silent;
  replica_->Read([&](const Fleet& aFleet) {
    for (const auto& [id, vm] : aFleet.Vms()) {
      const auto found = evidence.find(vm.number_);
      const auto madeAt =
        found == evidence.end() ? MonotonicTime{} : found->second.madeAt_;
      if (vm.phase_ == VmPhase::Active && now - madeAt > due) {
        silent.emplace_back(madeAt, vm.identity_);
      }
    }
  });
  // Targets in this node's zone come first: a zone that is partitioned off can
  // reach only these, and each probe of another zone's target would time out.
  std::stable_sort(silent.begin(),
                   silent.end(),
                   [this](const auto& aLeft, const auto& aRight) {
                     const bool left = aLeft.second.zone_ == settings_.zone_;
                     const bool right = aRight.second.zone_ == settings_.zone_;
                     return left != right ? left : aLeft.first > aRight.first;
                   });
  silent.resize(std::min(silent.size(), kProbesPerRound));
  for (const auto& [madeAt, identity] : silent) {
    if (stopping_) {
      break;
    }
    relay_->Probe(identity.id_, identity.address_, kProbeTimeout);
  }
}

void
RelayService::NotifyTargets()
{
  const auto now = MonotonicNow();
  const auto evidence = directory_->Targets();
  std::map<std::string, VmIdentity> notices;
  replica_->Read([&](const Fleet& aFleet) {
    for (const auto& [id, vm] : aFleet.Vms()) {
      const auto found = evidence.find(vm.number_);
      if (found != evidence.end() && found->second.epoch_ < vm.epoch_ &&
          vm.phase_ != VmPhase::Lost && vm.phase_ != VmPhase::Stopping) {
        notices.emplace(id + "@" + std::to_string(vm.epoch_), vm.identity_);
      }
    }
    for (const auto& [id, task] : aFleet.Tasks()) {
      const auto job = aFleet.Jobs().find(task.job_);
      const auto vm = aFleet.Vms().find(task.vm_);
      if (task.phase_ == TaskPhase::Placed && job != aFleet.Jobs().end() &&
          job->second.urgent_ && vm != aFleet.Vms().end()) {
        notices.emplace(id + "#" + std::to_string(task.lease_),
                        vm->second.identity_);
      }
    }
  });
  std::erase_if(notified_, [&](const auto& aItem) {
    return !notices.contains(aItem.first);
  });
  std::size_t count = 0;
  for (const auto& [key, identity] : notices) {
    const auto last = notified_.find(key);
    if (last != notified_.end() && now - last->second < kNotifyInterval) {
      continue;
    }
    if (stopping_ || ++count > kProbesPerRound) {
      break;
    }
    notified_.insert_or_assign(key, now);
    relay_->Probe(identity.id_, identity.address_, kProbeTimeout, true);
  }
}

void
RelayService::OnEcho(const TargetEcho& aEcho)
{
  const auto identity =
    replica_->Read([&aEcho](const Fleet& aFleet) -> std::optional<VmRecord> {
      const auto found = aFleet.Vms().find(aEcho.vm_);
      if (found == aFleet.Vms().end()) {
        return std::nullopt;
      }
      return found->second;
    });
  if (!identity) {
    return;
  }
  const auto known = directory_->Read([&identity](const Directory& aDirectory) {
    return aDirectory.Find(identity->number_);
  });
  directory_->UpdateTarget({ identity->number_,
                             aEcho.incarnation_ != 0
                               ? aEcho.incarnation_
                               : identity->identity_.incarnation_,
                             aEcho.epoch_,
                             aEcho.draining_,
                             known ? known->running_ : 0,
                             aEcho.sentAt_ });
}

std::map<std::string, RelayPoolLoad>
RelayService::Loads() const
{
  return relay_ ? relay_->Loads() : std::map<std::string, RelayPoolLoad>{};
}

} // namespace acaciahill
