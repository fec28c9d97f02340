#include "daemon/directory_service_base.h"

#include "kernel/os_clock_func.h"

namespace acaciahill {

DirectoryService::DirectoryService(const std::string& aSelf,
                                   std::uint64_t aBoot,
                                   Millis aMaxAge)
  : directory_(aSelf)
  , exchange_(aSelf, aBoot)
  , maxAge_(aMaxAge)
{
}

bool
DirectoryService::UpdateTarget(const TargetEvidence& aEvidence)
{
  const std::lock_guard lock(mutex_);
  return directory_.UpdateTarget(aEvidence);
}

void
DirectoryService::UpdateNode(const NodeStatus& aStatus)
{
  const std::lock_guard lock(mutex_);
  directory_.UpdateNode(aStatus);
}

void
DirectoryService::UpdateTasks(const VmTaskReports& aReports)
{
  const std::lock_guard lock(mutex_);
  directory_.UpdateTasks(aReports);
}

DigestMessage
DirectoryService::MakeDigestFor(const std::string& aPeer)
{
  const std::lock_guard lock(mutex_);
  return exchange_.MakeFor(aPeer, directory_, MonotonicNow(), maxAge_);
}

void
DirectoryService::AcceptDigest(const std::string& aPeer,
                               const DigestMessage& aDigest)
{
  const std::lock_guard lock(mutex_);
  exchange_.Accept(aPeer, aDigest, MonotonicNow(), directory_);
}

std::map<std::uint32_t, TargetEvidence>
DirectoryService::Targets() const
{
  const std::lock_guard lock(mutex_);
  return directory_.Targets();
}

std::map<std::string, NodeStatus>
DirectoryService::Nodes() const
{
  const std::lock_guard lock(mutex_);
  return directory_.Nodes();
}

void
DirectoryService::Retain(const std::map<std::string, VmRecord>& aVms,
                         const std::map<std::string, NodeRecord>& aNodes)
{
  const std::lock_guard lock(mutex_);
  directory_.Retain(aVms, aNodes);
}

} // namespace acaciahill
