#pragma once

#include "http/async_client_base.h"
#include "kernel/time_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>
#include <vector>

namespace acaciahill {

/// What a control node tells of the control group.
struct GroupInfo
{
  /// Node id of the leader; empty when unknown.
  std::string leader_;
  /// Node ids of the voters.
  std::vector<std::string> nodes_;

  bool operator==(const GroupInfo&) const = default;
};

/// Path of the internal interface that answers with GroupInfo.
inline constexpr const char* kGroupPath = "/leader";

std::string
EncodeGroupInfo(const GroupInfo& aInfo);

/// Reads EncodeGroupInfo's form; empty members where it cannot be read.
GroupInfo
DecodeGroupInfo(const std::string& aBody);

/// Keeps an entry node informed of who leads the control group, by asking
/// control nodes in turn. A node that others name counts as leader only once it
/// says so itself: they name one that hangs until they have elected another.
/// Used from the context's thread only.
class LeaderFinder
{
public:
  LeaderFinder(boost::asio::io_context& aContext,
               AsyncClient& aClient,
               std::vector<std::string> aSeedNodes,
               std::string aInternalPort);

  void Start();
  void Stop();

  /// Node id of the leader; empty while it is unknown.
  const std::string& Leader() const { return leader_; }

  /// The next of the control nodes that need not lead, in turn; empty when none
  /// is known.
  std::string NextReader();

  /// A control node did not answer; it is left out for some time.
  void NoteSilence(const std::string& aNode);

  /// When the leader last answered; the start of this process before.
  MonotonicTime ConfirmedAt() const { return confirmedAt_; }

  /// The leader answered a request, which shows as well that it leads.
  void Confirm(const std::string& aLeader);

  /// A call to the leader failed: asks again at once.
  void Doubt();

  /// Replaces the control nodes known from the settings.
  void SetSeeds(std::vector<std::string> aSeedNodes);

private:
  void AskLater(Millis aPause);
  void Ask();
  void Take(const std::string& aAsked, const GroupInfo& aInfo);
  void TakeSilence(const std::string& aAsked);
  std::string NextNode();
  bool WasSilent(const std::string& aNode) const;

  AsyncClient& client_;
  boost::asio::steady_timer timer_;
  std::vector<std::string> seeds_;
  std::vector<std::string> nodes_;
  std::string internalPort_;
  std::string leader_;
  /// Named by another node, and to be asked next.
  std::string candidate_;
  /// The last node that did not answer, and when that was noticed.
  std::string silent_;
  MonotonicTime silentAt_{};
  MonotonicTime confirmedAt_{};
  std::size_t next_ = 0;
  std::size_t nextReader_ = 0;
  bool asking_ = false;
  bool stopped_ = false;
};

} // namespace acaciahill
