#pragma once

#include "support/fault_proxy.h"
#include "support/history.h"
#include "support/http_func.h"
#include "support/process_harness.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace acaciahill::testing {

/// Where fault proxies stand between nodes.
enum class PeerProxies : std::uint8_t
{
  None,
  PerNode, ///< One in front of each node's peer port.
  PerPair, ///< In addition one for each ordered pair of nodes.
};

struct ClusterSettings
{
  /// Entry nodes n1, n2, ...; node i lies in zone z(1 + i modulo zones).
  int nodes_ = 3;
  int zones_ = 3;
  /// The first nodes are voters.
  int voters_ = 3;
  PeerProxies proxies_ = PeerProxies::None;
  /// Lines added to the sections of every node's settings, such as
  /// { "timing", "heartbeat_ms = 100" }.
  std::vector<std::pair<std::string, std::string>> extraLines_;
  std::string name_ = "test";
  /// Start a fake platform and name it in the settings.
  bool platform_ = true;
  Millis reboot_{ 1000 };
};

/// One entry node: its addresses and its process.
struct ClusterNode
{
  std::string id_;
  std::string zone_;
  bool voter_ = false;
  std::string callers_;
  std::string announce_;
  std::string admin_;
  std::string peers_;
  std::string folder_;
  std::unique_ptr<ChildProcess> process_;
};

/// What the fixture passes to a fake target.
struct ClusterTarget
{
  std::string id_ = "vm-1";
  std::string zone_ = "z1";
  std::string rack_ = "r1";
  /// Nodes to which it announces; empty means all nodes of its zone.
  std::vector<std::string> announceTo_;
  /// Entry nodes reach it through a fault proxy; see Cluster::TargetProxy().
  bool proxy_ = false;
  /// More arguments of fake_target, such as "--service-ms", "20".
  std::vector<std::string> arguments_;
};

/// A whole system of real processes on the loopback: entry nodes in several
/// zones, targets and the platform. Everything ends with the object. Functions
/// that wait throw std::runtime_error at their deadline, with the ends of the
/// nodes' logs in the text.
class Cluster
{
public:
  /// Writes the settings; starts nothing but the proxies and the platform.
  explicit Cluster(ClusterSettings aSettings);
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;
  ~Cluster();

  /// Runs --init for every voter and starts all nodes.
  void StartAll();
  void InitVoter(const std::string& aNode);
  void StartNode(const std::string& aNode);
  ClusterNode& Node(const std::string& aNode);
  const std::vector<std::string>& NodeIds() const { return nodeIds_; }

  void StartTarget(const ClusterTarget& aTarget);
  ChildProcess& TargetProcess(const std::string& aTarget);
  const std::string& TargetAddress(const std::string& aTarget) const;
  /// The proxy in front of a target that was started with one. It stays when
  /// the target is started again.
  FaultProxy& TargetProxy(const std::string& aTarget);
  /// The state that the target's control path gives.
  nlohmann::json TargetStatus(const std::string& aTarget) const;
  void ControlTarget(const std::string& aTarget,
                     const nlohmann::json& aSwitches) const;
  /// Path of a target's journal; see FakeTarget.
  std::string TargetJournal(const std::string& aTarget) const;
  /// The runs in the journals of all targets started so far.
  std::vector<ExecutedRun> TargetRuns() const;
  std::string PlatformAddress() const { return platformAddress_; }
  std::string PlatformJournal() const;

  /// JSON of an admin path; null when there is no answer with status 200.
  nlohmann::json AdminGet(const std::string& aNode,
                          const std::string& aPath) const;
  /// The call's outcome, also with an error status.
  HttpOutcome AdminPost(const std::string& aNode,
                        const std::string& aPath,
                        const nlohmann::json& aBody) const;
  /// Admin addresses of all nodes, comma separated, for acaciahill --admin.
  std::string AdminList() const;
  /// Runs acaciahill with --admin and these arguments.
  ProgramRun RunClient(const std::vector<std::string>& aArguments) const;

  /// A request through the callers' port of a node.
  HttpOutcome Request(const std::string& aNode,
                      const HttpRequest& aRequest,
                      Millis aTimeout = Millis(5000)) const;

  /// Waits until every running node answers /readyz with 200.
  void WaitReady(Millis aTimeout) const;
  /// Waits until a table version is in force on the running nodes, as each
  /// one's own table shows.
  void WaitInForce(std::uint64_t aVersion, Millis aTimeout) const;
  /// Waits until a node lists this many usable VMs.
  void WaitUsable(const std::string& aNode,
                  std::size_t aCount,
                  Millis aTimeout) const;
  /// Waits for a condition; the text names it in the error.
  void Require(const std::string& aWhat,
               Millis aTimeout,
               const std::function<bool()>& aCondition) const;
  /// The node that the nodes name as leader; empty when they name none.
  std::string Leader() const;

  /// The proxy in front of a node's peer port, and that of an ordered pair.
  FaultProxy& PeerProxy(const std::string& aNode);
  FaultProxy& PairProxy(const std::string& aFrom, const std::string& aTo);
  /// Cuts or heals all links between nodes of a zone and the other nodes.
  /// Needs PerPair.
  void CutZone(const std::string& aZone, bool aCut);
  /// Sets the faults of all links between a node and the other nodes; without
  /// any it is connected again. Needs PerPair.
  void IsolateNode(const std::string& aNode, const ProxyFaults& aFaults);

  const std::string& Folder() const { return folder_.Path(); }
  /// The last lines of all nodes' logs.
  std::string LogTails() const;

private:
  struct TargetState
  {
    std::string address_;
    std::unique_ptr<ChildProcess> process_;
  };

  void MakeNodes();
  void MakeProxies();
  void StartPlatform();
  void WriteSettings(const ClusterNode& aNode) const;
  /// The peer address of a node as another one is told it.
  std::string PeerAddress(const std::string& aFrom,
                          const std::string& aTo) const;
  std::vector<std::string> RunningNodes() const;

  ClusterSettings settings_;
  TemporaryFolder folder_;
  std::vector<std::string> nodeIds_;
  std::map<std::string, ClusterNode> nodes_;
  std::map<std::string, std::unique_ptr<FaultProxy>> peerProxies_;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<FaultProxy>>
    pairProxies_;
  std::map<std::string, std::unique_ptr<FaultProxy>> targetProxies_;
  std::map<std::string, TargetState> targets_;
  std::unique_ptr<ChildProcess> platform_;
  std::string platformAddress_;
};

} // namespace acaciahill::testing
