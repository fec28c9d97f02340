#pragma once

#include "kernel/service_registry_base.h"
#include "membership/digest_exchange_base.h"

#include <functional>
#include <mutex>
#include <string>

namespace acaciahill {

/// Name under which the service is registered.
inline constexpr const char* kDirectoryServiceName = "directory";

/// Thread-safe access to the node's directory and its digest exchange.
class DirectoryService : public Service
{
public:
  /// Digests leave out evidence that is older than aMaxAge.
  DirectoryService(const std::string& aSelf,
                   std::uint64_t aBoot,
                   Millis aMaxAge);

  Result<Done> Start() override { return Done{}; }
  void Stop() override {}

  bool UpdateTarget(const TargetEvidence& aEvidence);
  void UpdateNode(const NodeStatus& aStatus);
  void UpdateTasks(const VmTaskReports& aReports);

  DigestMessage MakeDigestFor(const std::string& aPeer);
  void AcceptDigest(const std::string& aPeer, const DigestMessage& aDigest);

  /// Runs a function on the directory under its lock.
  template<typename F>
  auto Read(F&& aFunction) const
  {
    const std::lock_guard lock(mutex_);
    return aFunction(static_cast<const Directory&>(directory_));
  }

  /// The latest evidence of each target, by target number.
  std::map<std::uint32_t, TargetEvidence> Targets() const;
  /// The latest status of each node, by node id.
  std::map<std::string, NodeStatus> Nodes() const;

  /// Removes everything about VMs and nodes that are not listed.
  void Retain(const std::map<std::string, VmRecord>& aVms,
              const std::map<std::string, NodeRecord>& aNodes);

private:
  mutable std::mutex mutex_;
  Directory directory_;
  DigestExchange exchange_;
  Millis maxAge_;
};

} // namespace acaciahill
