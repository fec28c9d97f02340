#pragma once

#include "http/async_client_base.h"
#include "kernel/time_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>
#include <vector>

namespace acaciahill {

/// A control node's view of the control group.
struct GroupInfo
{
  /// Node id of the leader; empty when unknown.
  std::string leader_;
  /// Node ids of the voters.
  std::vector<std::string> nodes_;

  bool operator==(const GroupInfo&) const = default;
};

/// Path on the internal HTTP interface that returns GroupInfo.
inline constexpr const char* kGroupPath = "/leader";

std::string
EncodeGroupInfo(const GroupInfo& aInfo);

/// Decodes the JSON of EncodeGroupInfo; members that are missing or malformed
/// stay empty.
GroupInfo
DecodeGroupInfo(const std::string& aBody);

/// Finds and tracks the leader of the control group for an entry node, by
/// querying the control nodes in turn. A node that others report as leader is
/// used only once it confirms this itself: a leader that hangs is reported
/// until another one is elected. Used from the context's thread only.
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

  /// Returns the next control node for reads, round robin, without the leader
  /// and unresponsive nodes; empty when none is known.
  std::string NextReader();

  /// Reports that a control node did not answer; it is skipped for some time.
  void NoteSilence(const std::string& aNode);

  /// When the leader last answered; initially the start of the process.
  MonotonicTime ConfirmedAt() const { return confirmedAt_; }

  /// Reports that the leader answered a request, which confirms that it leads.
  void Confirm(const std::string& aLeader);

  /// Reports that a call to the leader failed: forgets the leader and searches
  /// for it at once.
  void Doubt();

  /// Replaces the control nodes known from the settings.
  void SetSeeds(std::vector<std::string> aSeedNodes);

private:
  /// Queries a node after a pause, but a known leader only once it has answered
  /// nothing for some time.
  void ScheduleQuery(Millis aPause);
  void QueryNext();
  void HandleAnswer(const std::string& aQueried, const GroupInfo& aInfo);
  void HandleNoAnswer(const std::string& aQueried);
  std::string NextNode();
  bool IsUnresponsive(const std::string& aNode) const;

  AsyncClient& client_;
  boost::asio::steady_timer timer_;
  std::vector<std::string> seeds_;
  std::vector<std::string> nodes_;
  std::string internalPort_;
  std::string leader_;
  /// The leader by another node's report; queried next.
  std::string candidate_;
  /// The last node that did not answer, and the time of that failure.
  std::string unresponsive_;
  MonotonicTime unresponsiveAt_{};
  MonotonicTime confirmedAt_{};
  std::size_t next_ = 0;
  std::size_t nextReader_ = 0;
  bool querying_ = false;
  bool stopped_ = false;
};

} // namespace acaciahill
