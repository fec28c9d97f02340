#include "control_support.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;

namespace {

/// Repair runs once a second, and an addition takes a few exchanges.
constexpr Millis kAdmitLimit{ 15000 };
/// Exit code of errors of the process and its surroundings.
constexpr int kIoExitCode = 6;
/// Exit code of a refusal in the present state.
constexpr int kRefusedExitCode = 3;
/// --init asks two voters for at most 1 s each.
constexpr Millis kInitLimit{ 5000 };
/// Several elections with FastTiming().
constexpr Millis kNoQuorumTime{ 5000 };

/// The disk that a node's voter set names for a voter; empty when it has none.
std::string
DiskOf(const Cluster& aCluster,
       const std::string& aSeenBy,
       const std::string& aVoter)
{
  const auto nodes = aCluster.AdminGet(aSeenBy, "/v1/nodes");
  if (nodes.is_object()) {
    for (const auto& voter : nodes["voters"]) {
      if (voter["node"] == aVoter) {
        return voter["disk"];
      }
    }
  }
  return {};
}

void
DeleteFolder(Cluster& aCluster, const std::string& aNode)
{
  aCluster.Node(aNode).process_->Kill();
  std::filesystem::remove_all(aCluster.Node(aNode).folder_ + "/data");
}

/// Ways to make a data folder unwritable, also for root.
enum class FolderFault : std::uint8_t
{
  FileInPlace, ///< A file stands where the folder was.
  LogIsFolder, ///< A folder stands where the log was.
  LogRemoved,  ///< The log is gone; the open file still takes writes.
};

struct FolderRow
{
  const char* name_;
  FolderFault fault_;
  bool leader_;
  /// What the error names.
  const char* path_;
};

const std::vector<FolderRow> kFolderFaults{
  { "file in place, follower", FolderFault::FileInPlace, false, "/data/log" },
  { "log is a folder, leader", FolderFault::LogIsFolder, true, "/data/log" },
  { "log removed, follower", FolderFault::LogRemoved, false, "/data/log" },
};

void
BreakFolder(const std::string& aFolder, FolderFault aFault)
{
  if (aFault == FolderFault::FileInPlace) {
    std::filesystem::rename(aFolder, aFolder + ".moved");
    std::ofstream(aFolder) << "not a folder";
    return;
  }
  std::filesystem::rename(aFolder + "/log", aFolder + "/log.moved");
  if (aFault == FolderFault::LogIsFolder) {
    std::filesystem::create_directory(aFolder + "/log");
  }
}

void
MendFolder(const std::string& aFolder, FolderFault aFault)
{
  const auto path =
    aFault == FolderFault::FileInPlace ? aFolder : aFolder + "/log";
  std::filesystem::remove(path);
  std::filesystem::rename(path + ".moved", path);
}

/// Requires that a voter ends by itself with the exit code and text of an
/// error of its surroundings that names a path.
void
RequireExit(Cluster& aCluster, const std::string& aNode, const char* aPath)
{
  auto& process = *aCluster.Node(aNode).process_;
  const auto code = process.WaitForExit(kChangeLimit);
  INFO(process.Output());
  REQUIRE(code.has_value());
  CHECK(*code == kIoExitCode);
  CHECK(process.Output().find("io_error") != std::string::npos);
  CHECK(process.Output().find(aPath) != std::string::npos);
}

ClusterSettings
FastSettings()
{
  ClusterSettings settings;
  settings.nodes_ = 4;
  settings.extraLines_ = FastTiming();
  return settings;
}

void
StartWithTable(Cluster& aCluster)
{
  aCluster.StartAll();
  ApplyFirstTable(aCluster, "n1");
  aCluster.WaitInForce(1, kStartLimit);
}

} // namespace

// Guards against a voter that keeps its vote without its log, against one that
// stays outside the group after it lost its disk, and against a group that
// counts it only in name: the loss of another voter must leave a quorum.
TEST_CASE("a voter that lost its folder is admitted again by itself")
{
  Cluster cluster(FastSettings());
  StartWithTable(cluster);
  int number = 0;
  // Once with a follower's folder, once with the leader's.
  for (const bool isLeader : { false, true }) {
    const auto leader = cluster.Leader();
    const std::string other = leader == "n1" ? "n2" : "n1";
    const auto lost = isLeader ? leader : other;
    const auto oldDisk = DiskOf(cluster, "n4", lost).empty()
                           ? DiskOf(cluster, leader, lost)
                           : DiskOf(cluster, "n4", lost);
    REQUIRE_FALSE(oldDisk.empty());
    const auto before = RequireChange(cluster, "n4", ++number);
    DeleteFolder(cluster, lost);
    cluster.StartNode(lost);
    std::string newDisk;
    cluster.Require(lost + " admitted again", kAdmitLimit, [&] {
      newDisk = DiskOf(cluster, lost, lost);
      const auto now = cluster.Leader();
      return !newDisk.empty() && newDisk != oldDisk && !now.empty() &&
             DiskOf(cluster, now, lost) == newDisk;
    });
    cluster.WaitInForce(before, kInForceLimit);

    std::string third;
    for (const std::string voter : { "n1", "n2", "n3" }) {
      if (voter != lost) {
        third = voter;
      }
    }
    cluster.Node(third).process_->Kill();
    const auto after = RequireChange(cluster, "n4", ++number);
    CHECK(after == before + 1);
    cluster.WaitInForce(after, kInForceLimit);
    cluster.StartNode(third);
    cluster.WaitInForce(after, kChangeLimit);
  }
}

// Guards against accepted changes that vanish when two voters of three lose
// their folders at once: what only the third still holds must not be voted away
// by the two empty ones.
TEST_CASE("two voters that lose their folders take no decision")
{
  Cluster cluster(FastSettings());
  StartWithTable(cluster);
  const auto version = RequireChange(cluster, "n4", 1);
  cluster.WaitInForce(version, kInForceLimit);
  TableWatch watch(cluster);
  const std::string kept = GENERATE("n1", "n3");
  for (const std::string voter : { "n1", "n2", "n3" }) {
    if (voter != kept) {
      watch.BeginFault(voter);
      DeleteFolder(cluster, voter);
    }
  }
  for (const std::string voter : { "n1", "n2", "n3" }) {
    if (voter != kept) {
      cluster.StartNode(voter);
      watch.EndFault(voter, true);
    }
  }
  const auto until =
    MonotonicNs() +
    static_cast<std::uint64_t>(kNoQuorumTime.count()) * kNsPerMs;
  CellChange change;
  change.requestId_ = "without-quorum";
  change.base_ = version;
  change.value_ = "7";
  std::map<std::string, int> outcomes;
  while (MonotonicNs() < until) {
    for (const auto& node : cluster.NodeIds()) {
      SendChange(cluster, node, change, 500ms);
      ++outcomes[change.outcome_];
      CHECK(change.outcome_ != "accepted");
    }
  }
  watch.Stop();
  for (const auto& [outcome, count] : outcomes) {
    std::cout << "kept " << kept << ": " << outcome << " " << count << "\n";
  }
  CHECK(Describe(watch.Check({})).empty());
  // The voter that kept its folder and the node without a vote still serve the
  // accepted state and say that it may be outdated.
  for (const auto& node : { kept, std::string("n4") }) {
    const auto table = cluster.AdminGet(node, "/v1/table");
    REQUIRE(table.is_object());
    CHECK(table["version"] == version);
    CHECK(table["stale"] == true);
  }
}

// Guards against a voter that acknowledges what it cannot save, that hangs or
// hides the cause, and against a group that stops with it.
TEST_CASE("a voter that cannot write its folder exits and the others go on")
{
  Cluster cluster(FastSettings());
  StartWithTable(cluster);
  int number = 0;
  for (const auto& row : kFolderFaults) {
    INFO(row.name_);
    std::string leader;
    cluster.Require("a leader", kStartLimit, [&] {
      leader = cluster.Leader();
      return !leader.empty();
    });
    const std::string other = leader == "n1" ? "n2" : "n1";
    const auto voter = row.leader_ ? leader : other;
    const auto folder = cluster.Node(voter).folder_ + "/data";
    BreakFolder(folder, row.fault_);
    const auto version = RequireChange(cluster, "n4", ++number);
    RequireExit(cluster, voter, row.path_);
    cluster.WaitInForce(version, kInForceLimit);
    const auto later = RequireChange(cluster, "n4", ++number);
    cluster.WaitInForce(later, kInForceLimit);
    // Started again before the folder is mended it ends the same way.
    cluster.StartNode(voter);
    RequireExit(cluster, voter, "/data");
    MendFolder(folder, row.fault_);
    cluster.StartNode(voter);
    cluster.WaitInForce(later, kAdmitLimit);
  }
}

// Guards against --init on a voter that lost its folder: under its first disk
// id it would vote without knowing its earlier votes and entries.
TEST_CASE("init is refused while another voter knows the cluster")
{
  Cluster cluster(FastSettings());
  StartWithTable(cluster);
  const auto version = RequireChange(cluster, "n4", 1);
  // The other voters have a leader, or only one is left and knows none.
  for (const bool alone : { false, true }) {
    const auto oldDisk = DiskOf(cluster, "n1", "n2");
    if (alone) {
      cluster.Node("n3").process_->Kill();
    }
    DeleteFolder(cluster, "n2");
    if (alone) {
      cluster.Require("n1 without a leader", kNoQuorumTime, [&] {
        const auto nodes = cluster.AdminGet("n1", "/v1/nodes");
        return nodes.is_object() && nodes.value("leader", "none").empty();
      });
    }
    const auto& folder = cluster.Node("n2").folder_;
    const auto run =
      RunProgram(DaemonProgram(),
                 { "--init", "--config", folder + "/acaciahill.ini" },
                 folder,
                 kInitLimit);
    INFO(run.output_);
    CHECK(run.exitCode_.value_or(-1) == kRefusedExitCode);
    CHECK(run.output_.find("invalid_state") != std::string::npos);
    CHECK(run.output_.find("start this voter without --init") !=
          std::string::npos);
    REQUIRE_FALSE(std::filesystem::exists(folder + "/data/disk_id"));
    if (alone) {
      cluster.StartNode("n3");
    }
    cluster.StartNode("n2");
    cluster.Require("n2 admitted again", kAdmitLimit, [&] {
      const auto disk = DiskOf(cluster, "n1", "n2");
      return !disk.empty() && disk != oldDisk;
    });
    cluster.WaitInForce(version, kAdmitLimit);
  }
}
