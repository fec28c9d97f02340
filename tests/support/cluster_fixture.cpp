#include "support/cluster_fixture.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace acaciahill::testing {

namespace {

using nlohmann::json;

constexpr Millis kCallTimeout{ 5000 };
constexpr Millis kInitTimeout{ 10000 };
constexpr Millis kStartTimeout{ 10000 };
constexpr Millis kClientTimeout{ 60000 };
constexpr std::size_t kLogTailBytes = 3000;

std::string
Join(const std::vector<std::string>& aParts)
{
  std::string text;
  for (const auto& part : aParts) {
    text += (text.empty() ? "" : ",") + part;
  }
  return text;
}

std::string
Tail(const std::string& aText)
{
  return aText.size() <= kLogTailBytes
           ? aText
           : "..." + aText.substr(aText.size() - kLogTailBytes);
}

} // namespace

Cluster::Cluster(ClusterSettings aSettings)
  : settings_(std::move(aSettings))
{
  MakeNodes();
  MakeProxies();
  if (settings_.platform_) {
    StartPlatform();
  }
  for (const auto& id : nodeIds_) {
    WriteSettings(nodes_[id]);
  }
}

Cluster::~Cluster() = default;

void
Cluster::MakeNodes()
{
  for (int i = 0; i < settings_.nodes_; ++i) {
    ClusterNode node;
    node.id_ = "n" + std::to_string(i + 1);
    node.zone_ = "z" + std::to_string(i % settings_.zones_ + 1);
    node.voter_ = i < settings_.voters_;
    node.callers_ = FreeAddress();
    node.announce_ = FreeAddress();
    node.admin_ = FreeAddress();
    node.peers_ = FreeAddress();
    node.folder_ = folder_.Path() + "/" + node.id_;
    nodeIds_.push_back(node.id_);
    nodes_[node.id_] = std::move(node);
  }
}

void
Cluster::MakeProxies()
{
  if (settings_.proxies_ == PeerProxies::None) {
    return;
  }
  for (const auto& to : nodeIds_) {
    const auto& upstream = nodes_[to].peers_;
    peerProxies_[to] = std::make_unique<FaultProxy>(FreeAddress(), upstream);
    for (const auto& from : nodeIds_) {
      if (settings_.proxies_ == PeerProxies::PerPair && from != to) {
        pairProxies_[{ from, to }] =
          std::make_unique<FaultProxy>(FreeAddress(), upstream);
      }
    }
  }
}

void
Cluster::StartPlatform()
{
  platformAddress_ = FreeAddress();
  platform_ = std::make_unique<ChildProcess>(
    SupportProgram("fake_platform"),
    std::vector<std::string>{ "--listen",
                              platformAddress_,
                              "--reboot-ms",
                              std::to_string(settings_.reboot_.count()),
                              "--journal",
                              PlatformJournal() },
    folder_.Path() + "/platform");
  if (!platform_->WaitForOutput("listening", kStartTimeout)) {
    throw std::runtime_error("the fake platform did not start: " +
                             platform_->Output());
  }
}

std::string
Cluster::PeerAddress(const std::string& aFrom, const std::string& aTo) const
{
  const auto pair = pairProxies_.find({ aFrom, aTo });
  if (pair != pairProxies_.end()) {
    return pair->second->Address();
  }
  const auto proxy = peerProxies_.find(aTo);
  return proxy != peerProxies_.end() ? proxy->second->Address()
                                     : nodes_.at(aTo).peers_;
}

void
Cluster::WriteSettings(const ClusterNode& aNode) const
{
  std::map<std::string, std::vector<std::string>> sections;
  sections["node"] = { "id = " + aNode.id_, "zone = " + aNode.zone_ };
  if (aNode.voter_) {
    sections["node"].push_back("role = voter");
    sections["node"].push_back("data_dir = " + aNode.folder_ + "/data");
  } else {
    sections["node"].push_back("role = entry");
  }
  sections["listen"] = { "callers = " + aNode.callers_,
                         "announce = " + aNode.announce_,
                         "admin = " + aNode.admin_,
                         "peers = " + aNode.peers_ };
  std::vector<std::string> voters;
  for (const auto& id : nodeIds_) {
    if (nodes_.at(id).voter_) {
      voters.push_back(id + "@" + PeerAddress(aNode.id_, id));
    }
  }
  sections["cluster"] = { "name = " + settings_.name_,
                          "voters = " + Join(voters) };
  const auto proxy = peerProxies_.find(aNode.id_);
  if (proxy != peerProxies_.end()) {
    sections["cluster"].push_back("advertise_peers = " +
                                  proxy->second->Address());
  }
  if (!platformAddress_.empty()) {
    sections["platform"] = { "url = http://" + platformAddress_ };
  }
  sections["log"] = { "level = info", "format = text" };
  for (const auto& [section, line] : settings_.extraLines_) {
    sections[section].push_back(line);
  }

  std::filesystem::create_directories(aNode.folder_);
  std::ofstream out(aNode.folder_ + "/acaciahill.ini");
  for (const auto& [section, lines] : sections) {
    out << '[' << section << "]\n";
    for (const auto& line : lines) {
      out << line << '\n';
    }
  }
}

void
Cluster::InitVoter(const std::string& aNode)
{
  const auto& node = Node(aNode);
  const auto run =
    RunProgram(DaemonProgram(),
               { "--init", "--config", node.folder_ + "/acaciahill.ini" },
               node.folder_,
               kInitTimeout);
  if (run.exitCode_ != 0) {
    throw std::runtime_error("acaciahilld --init failed on " + aNode + ": " +
                             run.output_);
  }
}

void
Cluster::StartNode(const std::string& aNode)
{
  auto& node = Node(aNode);
  node.process_ = std::make_unique<ChildProcess>(
    DaemonProgram(),
    std::vector<std::string>{ "--config", node.folder_ + "/acaciahill.ini" },
    node.folder_);
}

void
Cluster::StartAll()
{
  for (const auto& id : nodeIds_) {
    if (nodes_[id].voter_) {
      InitVoter(id);
    }
  }
  for (const auto& id : nodeIds_) {
    StartNode(id);
  }
}

ClusterNode&
Cluster::Node(const std::string& aNode)
{
  return nodes_.at(aNode);
}

void
Cluster::StartTarget(const ClusterTarget& aTarget)
{
  std::vector<std::string> announce;
  for (const auto& id : nodeIds_) {
    const auto& node = nodes_[id];
    const bool isNamed =
      std::find(aTarget.announceTo_.begin(), aTarget.announceTo_.end(), id) !=
      aTarget.announceTo_.end();
    if (isNamed ||
        (aTarget.announceTo_.empty() && node.zone_ == aTarget.zone_)) {
      announce.push_back(node.announce_);
    }
  }
  TargetState state;
  const auto known = targets_.find(aTarget.id_);
  state.address_ =
    known == targets_.end() ? FreeAddress() : known->second.address_;
  std::vector<std::string> arguments{
    "--id",       aTarget.id_,    "--zone",    aTarget.zone_,
    "--rack",     aTarget.rack_,  "--listen",  state.address_,
    "--announce", Join(announce), "--journal", TargetJournal(aTarget.id_),
  };
  if (aTarget.proxy_) {
    auto& proxy = targetProxies_[aTarget.id_];
    if (!proxy) {
      proxy = std::make_unique<FaultProxy>(FreeAddress(), state.address_);
    }
    arguments.insert(arguments.end(), { "--advertise", proxy->Address() });
  }
  arguments.insert(
    arguments.end(), aTarget.arguments_.begin(), aTarget.arguments_.end());
  state.process_ =
    std::make_unique<ChildProcess>(SupportProgram("fake_target"),
                                   arguments,
                                   folder_.Path() + "/" + aTarget.id_);
  if (!state.process_->WaitForOutput("listening", kStartTimeout)) {
    throw std::runtime_error("target " + aTarget.id_ +
                             " did not start: " + state.process_->Output());
  }
  if (platform_) {
    const json vms{ { "vms", { { aTarget.id_, state.address_ } } } };
    HttpCall(
      platformAddress_, { "POST", "/control", {}, vms.dump() }, kCallTimeout);
  }
  targets_[aTarget.id_] = std::move(state);
}

FaultProxy&
Cluster::TargetProxy(const std::string& aTarget)
{
  return *targetProxies_.at(aTarget);
}

ChildProcess&
Cluster::TargetProcess(const std::string& aTarget)
{
  return *targets_.at(aTarget).process_;
}

const std::string&
Cluster::TargetAddress(const std::string& aTarget) const
{
  return targets_.at(aTarget).address_;
}

nlohmann::json
Cluster::TargetStatus(const std::string& aTarget) const
{
  const auto outcome = HttpCall(
    TargetAddress(aTarget), { "GET", "/control", {}, "" }, kCallTimeout);
  return outcome.Answered() ? json::parse(outcome.answer_.body_) : json();
}

void
Cluster::ControlTarget(const std::string& aTarget,
                       const nlohmann::json& aSwitches) const
{
  const auto outcome = HttpCall(TargetAddress(aTarget),
                                { "POST", "/control", {}, aSwitches.dump() },
                                kCallTimeout);
  if (!aSwitches.contains("exit") &&
      (!outcome.Answered() || outcome.answer_.status_ != 200)) {
    throw std::runtime_error("target " + aTarget + " refused " +
                             aSwitches.dump());
  }
}

std::string
Cluster::TargetJournal(const std::string& aTarget) const
{
  return folder_.Path() + "/" + aTarget + ".journal";
}

std::vector<ExecutedRun>
Cluster::TargetRuns() const
{
  std::vector<ExecutedRun> all;
  for (const auto& [target, state] : targets_) {
    const auto runs = ReadRuns(TargetJournal(target));
    all.insert(all.end(), runs.begin(), runs.end());
  }
  return all;
}

std::string
Cluster::PlatformJournal() const
{
  return folder_.Path() + "/platform.journal";
}

nlohmann::json
Cluster::AdminGet(const std::string& aNode, const std::string& aPath) const
{
  const auto outcome =
    HttpCall(nodes_.at(aNode).admin_, { "GET", aPath, {}, "" }, kCallTimeout);
  if (!outcome.Answered() || outcome.answer_.status_ != 200) {
    return {};
  }
  auto value = json::parse(outcome.answer_.body_, nullptr, false);
  return value.is_discarded() ? json() : value;
}

HttpOutcome
Cluster::AdminPost(const std::string& aNode,
                   const std::string& aPath,
                   const nlohmann::json& aBody) const
{
  return HttpCall(
    nodes_.at(aNode).admin_,
    { "POST", aPath, { { "Content-Type", "application/json" } }, aBody.dump() },
    kCallTimeout);
}

std::string
Cluster::AdminList() const
{
  std::vector<std::string> addresses;
  for (const auto& id : nodeIds_) {
    addresses.push_back(nodes_.at(id).admin_);
  }
  return Join(addresses);
}

ProgramRun
Cluster::RunClient(const std::vector<std::string>& aArguments) const
{
  std::vector<std::string> words{ "--admin", AdminList() };
  words.insert(words.end(), aArguments.begin(), aArguments.end());
  return RunProgram(
    ClientProgram(), words, folder_.Path() + "/client", kClientTimeout);
}

HttpOutcome
Cluster::Request(const std::string& aNode,
                 const HttpRequest& aRequest,
                 Millis aTimeout) const
{
  return HttpCall(nodes_.at(aNode).callers_, aRequest, aTimeout);
}

std::vector<std::string>
Cluster::RunningNodes() const
{
  std::vector<std::string> running;
  for (const auto& id : nodeIds_) {
    const auto& process = nodes_.at(id).process_;
    if (process && process->IsRunning()) {
      running.push_back(id);
    }
  }
  return running;
}

void
Cluster::Require(const std::string& aWhat,
                 Millis aTimeout,
                 const std::function<bool()>& aCondition) const
{
  if (!WaitUntil(aTimeout, aCondition)) {
    throw std::runtime_error("not within " + std::to_string(aTimeout.count()) +
                             " ms: " + aWhat + "\n" + LogTails());
  }
}

void
Cluster::WaitReady(Millis aTimeout) const
{
  for (const auto& id : RunningNodes()) {
    Require(id + " ready", aTimeout, [&] {
      const auto outcome = HttpCall(
        nodes_.at(id).admin_, { "GET", "/readyz", {}, "" }, kCallTimeout);
      return outcome.Answered() && outcome.answer_.status_ == 200;
    });
  }
}

void
Cluster::WaitInForce(std::uint64_t aVersion, Millis aTimeout) const
{
  for (const auto& id : RunningNodes()) {
    Require(
      "table version " + std::to_string(aVersion) + " on " + id, aTimeout, [&] {
        const auto table = AdminGet(id, "/v1/table");
        return table.is_object() &&
               table.value("version", std::uint64_t{ 0 }) >= aVersion;
      });
  }
}

void
Cluster::WaitUsable(const std::string& aNode,
                    std::size_t aCount,
                    Millis aTimeout) const
{
  Require(std::to_string(aCount) + " usable VMs on " + aNode, aTimeout, [&] {
    const auto vms = AdminGet(aNode, "/v1/vms");
    return vms.is_array() &&
           aCount <= static_cast<std::size_t>(std::count_if(
                       vms.begin(), vms.end(), [](const json& aVm) {
                         return aVm.value("usable", false);
                       }));
  });
}

std::string
Cluster::Leader() const
{
  for (const auto& id : RunningNodes()) {
    const auto nodes = AdminGet(id, "/v1/nodes");
    if (nodes.is_object() && !nodes.value("leader", std::string()).empty()) {
      return nodes["leader"];
    }
  }
  return {};
}

FaultProxy&
Cluster::PeerProxy(const std::string& aNode)
{
  return *peerProxies_.at(aNode);
}

FaultProxy&
Cluster::PairProxy(const std::string& aFrom, const std::string& aTo)
{
  return *pairProxies_.at({ aFrom, aTo });
}

void
Cluster::CutZone(const std::string& aZone, bool aCut)
{
  for (const auto& [pair, proxy] : pairProxies_) {
    const bool fromInside = nodes_[pair.first].zone_ == aZone;
    const bool toInside = nodes_[pair.second].zone_ == aZone;
    if (fromInside != toInside) {
      proxy->Cut(aCut);
    }
  }
  // Nodes reach the advertised address through the proxy of the node, which
  // does not tell its users apart; it serves nobody during the cut.
  for (const auto& id : nodeIds_) {
    if (nodes_[id].zone_ == aZone) {
      peerProxies_.at(id)->Cut(aCut);
    }
  }
}

void
Cluster::IsolateNode(const std::string& aNode, const ProxyFaults& aFaults)
{
  for (const auto& [pair, proxy] : pairProxies_) {
    if (pair.first == aNode || pair.second == aNode) {
      proxy->Set(aFaults);
    }
  }
  peerProxies_.at(aNode)->Set(aFaults);
}

std::string
Cluster::LogTails() const
{
  std::string text;
  for (const auto& id : nodeIds_) {
    const auto& node = nodes_.at(id);
    if (node.process_) {
      text += "--- " + id + "\n" + Tail(node.process_->Output()) + "\n";
    }
  }
  return text;
}

} // namespace acaciahill::testing
