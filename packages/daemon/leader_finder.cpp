#include "daemon/leader_finder_base.h"

#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace acaciahill {

namespace {

// The leader is queried when it has answered nothing for this time. A lost
// leader is detected within this interval plus kQueryTimeout, which is less
// than the duration of an election.
constexpr Millis kConfirmInterval{ 250 };
// Pause between queries while the leader is unknown.
constexpr Millis kSearchInterval{ 40 };
// Many times the network delay between two availability zones.
constexpr Millis kQueryTimeout{ 250 };
// A node that did not answer is not queried for this time, unless it is the
// only one.
constexpr Millis kUnresponsivePause{ 600 };

} // namespace

std::string
EncodeGroupInfo(const GroupInfo& aInfo)
{
  return nlohmann::json{
    { "leader", aInfo.leader_ }, { "nodes", aInfo.nodes_ }
  }.dump();
}

GroupInfo
DecodeGroupInfo(const std::string& aBody)
{
  const auto json = nlohmann::json::parse(aBody, nullptr, false);
  GroupInfo info;
  if (!json.is_object()) {
    return info;
  }
  if (const auto leader = json.find("leader");
      leader != json.end() && leader->is_string()) {
    info.leader_ = leader->get<std::string>();
  }
  if (const auto nodes = json.find("nodes");
      nodes != json.end() && nodes->is_array()) {
    for (const auto& node : *nodes) {
      if (node.is_string()) {
        info.nodes_.push_back(node.get<std::string>());
      }
    }
  }
  return info;
}

LeaderFinder::LeaderFinder(boost::asio::io_context& aContext,
                           AsyncClient& aClient,
                           std::vector<std::string> aSeedNodes,
                           std::string aInternalPort)
  : client_(aClient)
  , timer_(aContext)
  , seeds_(std::move(aSeedNodes))
  , internalPort_(std::move(aInternalPort))
  , confirmedAt_(MonotonicNow())
{
}

void
LeaderFinder::Start()
{
  ScheduleQuery(Millis(0));
}

void
LeaderFinder::Stop()
{
  stopped_ = true;
  timer_.cancel();
}

void
LeaderFinder::Doubt()
{
  if (!leader_.empty()) {
    LogInfo("a call to the leader failed; searching for the leader",
            { { "leader", leader_ } });
    leader_.clear();
  }
  ScheduleQuery(Millis(0));
}

void
LeaderFinder::Confirm(const std::string& aLeader)
{
  if (aLeader == leader_) {
    confirmedAt_ = MonotonicNow();
  }
}

void
LeaderFinder::SetSeeds(std::vector<std::string> aSeedNodes)
{
  seeds_ = std::move(aSeedNodes);
}

void
LeaderFinder::ScheduleQuery(Millis aPause)
{
  if (stopped_ || querying_) {
    return;
  }
  timer_.expires_after(aPause);
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (aError || stopped_ || querying_) {
      return;
    }
    const auto age = MonotonicNow() - confirmedAt_;
    if (!leader_.empty() && age < kConfirmInterval) {
      ScheduleQuery(kConfirmInterval - age);
    } else {
      QueryNext();
    }
  });
}

bool
LeaderFinder::IsUnresponsive(const std::string& aNode) const
{
  return aNode == unresponsive_ &&
         MonotonicNow() - unresponsiveAt_ < kUnresponsivePause;
}

std::string
LeaderFinder::NextNode()
{
  if (!leader_.empty()) {
    return leader_;
  }
  if (!candidate_.empty()) {
    return std::exchange(candidate_, {});
  }
  auto all = nodes_;
  for (const auto& seed : seeds_) {
    if (std::find(all.begin(), all.end(), seed) == all.end()) {
      all.push_back(seed);
    }
  }
  if (all.empty()) {
    return "";
  }
  if (IsUnresponsive(all[next_ % all.size()])) {
    ++next_;
  }
  return all[next_++ % all.size()];
}

std::string
LeaderFinder::NextReader()
{
  for (std::size_t tries = 0; tries < nodes_.size(); ++tries) {
    const auto& node = nodes_[nextReader_++ % nodes_.size()];
    if (node != leader_ && !IsUnresponsive(node)) {
      return node;
    }
  }
  return "";
}

void
LeaderFinder::NoteSilence(const std::string& aNode)
{
  unresponsive_ = aNode;
  unresponsiveAt_ = MonotonicNow();
}

void
LeaderFinder::QueryNext()
{
  const auto node = NextNode();
  if (node.empty()) {
    return;
  }
  querying_ = true;
  HttpRequest request;
  request.method_ = "GET";
  request.target_ = kGroupPath;
  request.headers_ = { { "Host", node } };
  client_.Call(node + ":" + internalPort_,
               std::move(request),
               kQueryTimeout,
               [this, node](const CallResult& aResult) {
                 querying_ = false;
                 if (const auto* answer = std::get_if<HttpAnswer>(&aResult)) {
                   HandleAnswer(node, DecodeGroupInfo(answer->body_));
                 } else {
                   HandleNoAnswer(node);
                 }
               });
}

void
LeaderFinder::HandleNoAnswer(const std::string& aQueried)
{
  NoteSilence(aQueried);
  if (leader_ == aQueried) {
    LogInfo("lost the leader", { { "leader", leader_ }, { "now", "" } });
    leader_.clear();
  }
  ScheduleQuery(kSearchInterval);
}

void
LeaderFinder::HandleAnswer(const std::string& aQueried, const GroupInfo& aInfo)
{
  if (!aInfo.nodes_.empty()) {
    nodes_ = aInfo.nodes_;
  }
  if (aInfo.leader_ == aQueried) {
    if (leader_ != aQueried) {
      LogInfo("found the leader", { { "leader", aQueried } });
    }
    leader_ = aQueried;
    confirmedAt_ = MonotonicNow();
    ScheduleQuery(kConfirmInterval);
    return;
  }
  if (!leader_.empty() && leader_ != aInfo.leader_) {
    LogInfo("lost the leader",
            { { "leader", leader_ }, { "now", aInfo.leader_ } });
  }
  leader_.clear();
  if (!aInfo.leader_.empty() && !IsUnresponsive(aInfo.leader_)) {
    candidate_ = aInfo.leader_;
    ScheduleQuery(Millis(0));
    return;
  }
  ScheduleQuery(kSearchInterval);
}

} // namespace acaciahill
