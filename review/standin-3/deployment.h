#pragma once

#include "record.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

/// Fills in a template as DEPLOY.md describes it: values, sections and inverted
/// sections, without nesting of the same name.
inline std::string
FillIn(std::string aText, const std::map<std::string, std::string>& aFields)
{
  for (std::size_t at = 0; (at = aText.find("{{", at)) != std::string::npos;) {
    const auto close = aText.find("}}", at);
    const auto tag = aText.substr(at + 2, close - at - 2);
    const auto name =
      tag[0] == '#' || tag[0] == '^' ? tag.substr(1) : tag;
    const auto field = aFields.find(name);
    const bool isSet = field != aFields.end() && !field->second.empty();
    if (tag[0] == '#' || tag[0] == '^') {
      const auto endTag = "{{/" + name + "}}";
      const auto end = aText.find(endTag, close);
      const auto inner = aText.substr(close + 2, end - close - 2);
      aText.replace(at,
                    end + endTag.size() - at,
                    isSet == (tag[0] == '#') ? inner : std::string());
    } else {
      const auto value = isSet ? field->second : std::string();
      aText.replace(at, close + 2 - at, value);
      at += value.size();
    }
  }
  return aText;
}

/// The processes of a small deployment on loopback addresses of its own: core
/// machines with a disk and edge machines, started with the command and the
/// settings of the deploy file. A process that ends by itself is started again
/// after 0.5 s.
class Deployment
{
public:
  Deployment(int aCores, int aEdges, Record& aLog, bool aHasVmApi = false)
    : log_(aLog)
  {
    char name[] = "/tmp/acaciahill-review-XXXXXX";
    folder_ = ::mkdtemp(name);
    std::random_device random;
    net_ = "127." + std::to_string(20 + random() % 200) + "." +
           std::to_string(1 + random() % 250) + ".";
    std::ifstream file("deploy/settings.ini");
    std::stringstream text;
    text << file.rdbuf();
    template_ = text.str();
    for (int i = 0; i < aCores + aEdges; ++i) {
      nodes_.push_back(std::make_unique<Node>());
      auto& node = *nodes_.back();
      node.isCore_ = i < aCores;
      node.ip_ = Ip(i + 1);
      node.name_ = (node.isCore_ ? "core-" : "edge-") + std::to_string(i + 1);
      node.zone_ = ZoneOf(i);
      if (node.isCore_) {
        seeds_ += (seeds_.empty() ? "" : ",") + node.ip_ + ":" + kControlPort;
        control_.push_back(node.ip_ + ":" + kControlPort);
      } else {
        edges_.push_back(node.ip_ + ":" + kCallersPort);
      }
    }
    vmApi_ = aHasVmApi ? Address(kVmApiHost) : "";
    for (auto& node : nodes_) {
      Start(*node, true);
    }
    watcher_ = std::thread([this] { Watch(); });
  }

  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  ~Deployment()
  {
    stop_ = true;
    watcher_.join();
    for (auto& node : nodes_) {
      if (node->pid_ > 0) {
        ::kill(node->pid_, SIGCONT);
        ::kill(node->pid_, SIGKILL);
        ::waitpid(node->pid_, nullptr, 0);
      }
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::filesystem::remove_all(folder_);
    } else {
      log_.Line("logs of the processes are in " + folder_);
    }
  }

  /// The address of a stand-in on this deployment's net.
  std::string Address(int aHost) const { return Ip(aHost) + ":" + kOtherPort; }
  static std::string ZoneOf(int aIndex)
  {
    return std::string("zone-") + static_cast<char>('a' + aIndex % 3);
  }
  const std::vector<std::string>& Control() const { return control_; }
  const std::vector<std::string>& Edges() const { return edges_; }
  const std::string& Folder() const { return folder_; }
  /// Host number of the platform's interface.
  static constexpr int kVmApiHost = 200;

  /// How often processes of core machines have ended by themselves since then,
  /// by machine.
  std::vector<int> OwnEndsOfCores(std::int64_t aSinceMs)
  {
    const std::lock_guard lock(mutex_);
    std::vector<int> ends;
    for (const auto& node : nodes_) {
      if (node->isCore_) {
        ends.push_back(static_cast<int>(
          std::count_if(node->ownEnds_.begin(),
                        node->ownEnds_.end(),
                        [aSinceMs](auto aAt) { return aAt > aSinceMs; })));
      }
    }
    return ends;
  }

  void Signal(std::size_t aNode, int aSignal)
  {
    const std::lock_guard lock(mutex_);
    log_.Line("signal " + std::to_string(aSignal) + " to " +
              nodes_[aNode]->name_);
    nodes_[aNode]->killed_ = aSignal == SIGKILL || aSignal == SIGTERM;
    ::kill(nodes_[aNode]->pid_, aSignal);
  }

private:
  struct Node
  {
    bool isCore_ = false;
    std::string ip_;
    std::string name_;
    std::string zone_;
    pid_t pid_ = 0;
    /// When its processes ended by themselves.
    std::vector<std::int64_t> ownEnds_;
    bool killed_ = false;
    std::int64_t startAt_ = 0;
  };

  std::string Ip(int aHost) const { return net_ + std::to_string(aHost); }

  void Start(Node& aNode, bool aIsBootstrap)
  {
    const auto data = folder_ + "/" + aNode.name_ + "-data";
    std::map<std::string, std::string> fields{
      { "ip", aNode.ip_ },
      { "nodeName", aNode.name_ },
      { "zone", aNode.zone_ },
      { "internalPortRange.0", "7060" },
      { "internalPortRange.1", "7061" },
      { "seeds", seeds_ },
      { "bootstrap", aIsBootstrap ? "true" : "false" },
      { "faultTolerance.machines", "1" },
      { "bounds.maxHoldMs", "6000" },
      { "bounds.status_s", "120" },
      { "cloudApi.address", vmApi_ },
      { "cloudApi.dutyPerS", vmApi_.empty() ? "" : "64.0" }
    };
    if (aNode.isCore_) {
      fields["dataDir"] = data;
      fields["listen.control"] = aNode.ip_ + ":" + kControlPort;
    } else {
      fields["listen.frontend"] = aNode.ip_ + ":" + kCallersPort;
      fields["listen.readiness"] = aNode.ip_ + ":8622";
    }
    const auto settings = folder_ + "/" + aNode.name_ + ".conf";
    std::ofstream(settings, std::ios::trunc) << FillIn(template_, fields);
    const auto output = folder_ + "/" + aNode.name_ + ".log";
    aNode.pid_ = ::fork();
    if (aNode.pid_ == 0) {
      // Ends with this program, also when that is killed.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (std::freopen(output.c_str(), "a", stdout) == nullptr ||
          ::dup2(1, 2) < 0) {
        ::_exit(127);
      }
      const char* program = "target/packages/daemon/acaciahilld";
      ::execl(program,
              program,
              "--workload",
              "--config",
              settings.c_str(),
              static_cast<char*>(nullptr));
      ::_exit(127);
    }
    log_.Line("started " + aNode.name_ + " at " + aNode.ip_);
  }

  void Watch()
  {
    constexpr std::int64_t kRestartMs = 500;
    while (!stop_) {
      SleepMs(20);
      const std::lock_guard lock(mutex_);
      for (auto& node : nodes_) {
        int status = 0;
        if (node->pid_ > 0 &&
            ::waitpid(node->pid_, &status, WNOHANG) == node->pid_) {
          node->pid_ = 0;
          node->startAt_ = NowMs() + kRestartMs;
          if (!node->killed_) {
            node->ownEnds_.push_back(NowMs());
          }
          log_.Line(node->name_ + (node->killed_ ? " ended" :
                    " ended by itself") +
                    (WIFSIGNALED(status)
                       ? ", signal " + std::to_string(WTERMSIG(status))
                       : ", exit code " + std::to_string(WEXITSTATUS(status))));
          node->killed_ = false;
        } else if (node->pid_ == 0 && NowMs() >= node->startAt_) {
          Start(*node, false);
        }
      }
    }
  }

  static constexpr const char* kCallersPort = "8624";
  static constexpr const char* kControlPort = "8623";
  static constexpr const char* kOtherPort = "8080";

  Record& log_;
  std::string folder_;
  std::string net_;
  std::string template_;
  std::string seeds_;
  std::string vmApi_;
  std::vector<std::string> control_;
  std::vector<std::string> edges_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::atomic<bool> stop_{ false };
  std::thread watcher_;
};

} // namespace review
