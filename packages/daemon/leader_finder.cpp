#include "daemon/leader_finder_base.h"

#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace acaciahill {

namespace {

// A leader that answered nothing for this time is asked. A lost leader is
// noticed within this time and the timeout, which is less than an election
// takes.
constexpr Millis kConfirmInterval{ 250 };
// Pause between questions while the leader is unknown.
constexpr Millis kSearchInterval{ 40 };
// Many times the delay between two zones.
constexpr Millis kAskTimeout{ 250 };
// A node that did not answer is left out of the questions for this time, unless
// it is the only one.
constexpr Millis kSilentPause{ 600 };

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
  AskLater(Millis(0));
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
    LogInfo("the leader is in doubt", { { "leader", leader_ } });
    leader_.clear();
  }
  AskLater(Millis(0));
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
LeaderFinder::AskLater(Millis aPause)
{
  if (stopped_ || asking_) {
    return;
  }
  timer_.expires_after(aPause);
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (aError || stopped_ || asking_) {
      return;
    }
    const auto age = MonotonicNow() - confirmedAt_;
    if (!leader_.empty() && age < kConfirmInterval) {
      AskLater(kConfirmInterval - age);
    } else {
      Ask();
    }
  });
}

bool
LeaderFinder::WasSilent(const std::string& aNode) const
{
  return aNode == silent_ && MonotonicNow() - silentAt_ < kSilentPause;
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
  if (WasSilent(all[next_ % all.size()])) {
    ++next_;
  }
  return all[next_++ % all.size()];
}

std::string
LeaderFinder::NextReader()
{
  for (std::size_t tries = 0; tries < nodes_.size(); ++tries) {
    const auto& node = nodes_[nextReader_++ % nodes_.size()];
    if (node != leader_ && !WasSilent(node)) {
      return node;
    }
  }
  return "";
}

void
LeaderFinder::NoteSilence(const std::string& aNode)
{
  silent_ = aNode;
  silentAt_ = MonotonicNow();
}

void
LeaderFinder::Ask()
{
  const auto node = NextNode();
  if (node.empty()) {
    return;
  }
  asking_ = true;
  HttpRequest request;
  request.method_ = "GET";
  request.target_ = kGroupPath;
  request.headers_ = { { "Host", node } };
  client_.Call(node + ":" + internalPort_,
               std::move(request),
               kAskTimeout,
               [this, node](const CallResult& aResult) {
                 asking_ = false;
                 if (const auto* answer = std::get_if<HttpAnswer>(&aResult)) {
                   Take(node, DecodeGroupInfo(answer->body_));
                 } else {
                   TakeSilence(node);
                 }
               });
}

void
LeaderFinder::TakeSilence(const std::string& aAsked)
{
  NoteSilence(aAsked);
  if (leader_ == aAsked) {
    LogInfo("lost the leader", { { "leader", leader_ }, { "now", "" } });
    leader_.clear();
  }
  AskLater(kSearchInterval);
}

void
LeaderFinder::Take(const std::string& aAsked, const GroupInfo& aInfo)
{
  if (!aInfo.nodes_.empty()) {
    nodes_ = aInfo.nodes_;
  }
  if (aInfo.leader_ == aAsked) {
    if (leader_ != aAsked) {
      LogInfo("found the leader", { { "leader", aAsked } });
    }
    leader_ = aAsked;
    confirmedAt_ = MonotonicNow();
    AskLater(kConfirmInterval);
    return;
  }
  if (!leader_.empty() && leader_ != aInfo.leader_) {
    LogInfo("lost the leader",
            { { "leader", leader_ }, { "now", aInfo.leader_ } });
  }
  leader_.clear();
  if (!aInfo.leader_.empty() && !WasSilent(aInfo.leader_)) {
    candidate_ = aInfo.leader_;
    AskLater(Millis(0));
    return;
  }
  AskLater(kSearchInterval);
}

} // namespace acaciahill
