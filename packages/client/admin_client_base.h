#pragma once

#include "client/admin_client_type.h"
#include "kernel/error_type.h"
#include "state/fleet_type.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace acaciahill {

/// The HTTP API of the nodes as the operator client uses it. An address that
/// does not answer is passed over for the next one.
class AdminClient
{
public:
  explicit AdminClient(AdminClientSettings aSettings);

  const AdminClientSettings& Settings() const { return settings_; }

  /// Reads a path. Errors: what the node answered; ControlUnreachable naming
  /// each address when none gave a whole answer.
  Result<AdminReply> Get(const std::string& aPath);

  /// Reads a path as JSON. Errors: as Get(), and AnswerMalformed.
  Result<nlohmann::json> GetJson(const std::string& aPath);

  /// Reads the table with its version. Errors: as Get().
  Result<PoolTable> ReadTable();

  /// Sends a command: an object with "type" and its fields. While it is not
  /// known to be decided, it is sent again with the same request id, so that it
  /// is carried out at most once. Errors: what the leader decided;
  /// ControlUnreachable when no node accepted it, so that it was not carried
  /// out; ProposalLost when that is not known.
  Result<ChangeReply> Change(nlohmann::json aCommand);

  /// Waits until a log index is in force on all nodes. The callback gets each
  /// new state. Errors: Timeout naming the nodes that are behind.
  Result<InForceReply> WaitInForce(
    std::uint64_t aIndex,
    const std::function<void(const InForceReply&)>& aProgress);

private:
  AdminClientSettings settings_;
  /// The address that answered last is tried first.
  std::size_t preferred_ = 0;
};

/// One call to one address. Never throws; an answer whose body is shorter or
/// longer than its Content-Length, or that has none, is not taken as whole.
AdminCallOutcome
CallAdmin(const std::string& aAddress,
          const std::string& aMethod,
          const std::string& aPath,
          const std::string& aBody,
          Millis aTimeout);

/// A new id for an intent: 32 hexadecimal digits from the system's random
/// device.
std::string
MakeRequestId();

} // namespace acaciahill
