#include "daemon/leader_finder_base.h"

#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace acaciahill {

namespace {

// Pause between questions to a leader that answers. A lost leader is noticed
// within this time and the timeout.
constexpr Millis kConfirmInterval{ 700 };
// Pause between questions while the leader is unknown.
constexpr Millis kSearchInterval{ 60 };
constexpr Millis kAskTimeout{ 400 };

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
    if (!aError && !stopped_ && !asking_) {
      Ask();
    }
  });
}

std::string
LeaderFinder::NextNode()
{
  if (!leader_.empty()) {
    return leader_;
  }
  auto all = nodes_;
  for (const auto& seed : seeds_) {
    if (std::find(all.begin(), all.end(), seed) == all.end()) {
      all.push_back(seed);
    }
  }
  return all.empty() ? "" : all[next_++ % all.size()];
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
                 const auto* answer = std::get_if<HttpAnswer>(&aResult);
                 Take(node,
                      answer == nullptr ? GroupInfo{}
                                        : DecodeGroupInfo(answer->body_));
               });
}

void
LeaderFinder::Take(const std::string& aAsked, const GroupInfo& aInfo)
{
  if (!aInfo.nodes_.empty()) {
    nodes_ = aInfo.nodes_;
  }
  if (aInfo.leader_ == aAsked && !aAsked.empty()) {
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
  // A node that names another one is asked no more; that one has to confirm.
  leader_.clear();
  if (!aInfo.leader_.empty()) {
    leader_ = aInfo.leader_;
    AskLater(Millis(0));
    return;
  }
  AskLater(kSearchInterval);
}

} // namespace acaciahill
