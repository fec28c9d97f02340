#include "control_support.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>

using namespace acaciahill;
using namespace acaciahill::testing;

namespace {

constexpr int kChanges = 500;
constexpr Millis kAnswerTimeout{ 5000 };
/// An election of at most 4 s with the default timing, and a busy machine.
constexpr Millis kRestartLimit{ 15000 };
constexpr std::uintmax_t kCutBytes = 7;

struct RestartRow
{
  const char* name_;
  const char* snapshotEntries_;
  bool hasSnapshot_;
};

const std::vector<RestartRow> kRestarts{
  { "log only", "100000", false },
  { "snapshot and tail", "64", true },
};

std::string
RowsOn(const Cluster& aCluster, const std::string& aNode)
{
  const auto table = aCluster.AdminGet(aNode, "/v1/table");
  return table.is_object() ? table["rows"].dump() : "";
}

std::string
LogPath(Cluster& aCluster, const std::string& aNode)
{
  return aCluster.Node(aNode).folder_ + "/data/log";
}

void
KillAll(Cluster& aCluster)
{
  for (const auto& node : aCluster.NodeIds()) {
    aCluster.Node(node).process_->Kill();
  }
}

/// Starts all nodes; they must show the version and the rows again.
void
RequireSame(Cluster& aCluster,
            std::uint64_t aVersion,
            const std::string& aRows,
            const std::string& aWhat)
{
  const auto start = MonotonicNs();
  for (const auto& node : aCluster.NodeIds()) {
    aCluster.StartNode(node);
  }
  aCluster.WaitInForce(aVersion, kRestartLimit);
  std::cout << aWhat << ": in force again after "
            << (MonotonicNs() - start) / kNsPerMs << " ms\n";
  for (const auto& node : aCluster.NodeIds()) {
    CHECK(VersionOn(aCluster, node) == aVersion);
    CHECK(RowsOn(aCluster, node) == aRows);
  }
}

} // namespace

// Guards against accepted changes that are lost or altered when every process
// is killed at once, also with a snapshot, and with a torn end of one log: a
// record that was being written, and one that was cut short.
TEST_CASE("a restart after hundreds of changes shows the same table")
{
  for (const auto& row : kRestarts) {
    INFO(row.name_);
    ClusterSettings settings;
    settings.extraLines_ = {
      { "cluster", std::string("snapshot_entries = ") + row.snapshotEntries_ }
    };
    Cluster cluster(settings);
    cluster.StartAll();
    ApplyFirstTable(cluster, "n1");
    std::uint64_t version = 1;
    for (int i = 0; i < kChanges; ++i) {
      CellChange change;
      change.requestId_ = "change-" + std::to_string(i);
      change.base_ = version;
      change.value_ = std::to_string(i + 2);
      SendChange(cluster, "n1", change, kAnswerTimeout);
      REQUIRE(change.outcome_ == "accepted");
      version = change.version_;
    }
    REQUIRE(version == kChanges + 1);
    cluster.WaitInForce(version, kRestartLimit);
    const auto rows = RowsOn(cluster, "n1");
    KillAll(cluster);
    RequireSame(cluster, version, rows, row.name_);
    const auto output = cluster.Node("n1").process_->Output();
    CHECK((output.find("snapshot_index=0 ") == std::string::npos) ==
          row.hasSnapshot_);

    KillAll(cluster);
    std::ofstream(LogPath(cluster, "n1"), std::ios::app | std::ios::binary)
      << "a record that was being written";
    RequireSame(cluster, version, rows, "garbage at the end of one log");

    KillAll(cluster);
    const auto path = LogPath(cluster, "n2");
    std::filesystem::resize_file(path,
                                 std::filesystem::file_size(path) - kCutBytes);
    RequireSame(cluster, version, rows, "one log cut short");
  }
}
