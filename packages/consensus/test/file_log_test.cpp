#include "consensus/log_store_base.h"

#include <catch2/catch.hpp>

#include <filesystem>

using namespace acaciahill;

namespace {

/// A data folder that is removed at the end.
struct TemporaryFolder
{
  TemporaryFolder()
  {
    auto pattern =
      (std::filesystem::temp_directory_path() / "consensus-XXXXXX").string();
    path_ = mkdtemp(pattern.data());
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }

  std::string path_;
};

std::vector<LogEntry>
MakeEntries(std::uint64_t aFirst, std::uint64_t aCount, std::uint64_t aTerm)
{
  std::vector<LogEntry> entries;
  for (auto i = aFirst; i < aFirst + aCount; ++i) {
    entries.push_back(
      { i, aTerm, EntryKind::Command, "command " + std::to_string(i) });
  }
  return entries;
}

StoredLog
Reopen(FileSystem& aFiles, const std::string& aFolder)
{
  auto opened = OpenFileLog(aFiles, aFolder, "another-id");
  REQUIRE(IsOk(opened));
  return ValueOf(opened).stored_;
}

} // namespace

// Guards against state that is lost or changed by a restart.
TEST_CASE("a data folder keeps everything over a restart")
{
  const TemporaryFolder folder;
  const auto path = folder.path_ + "/data/voter";
  StoredLog expected;
  expected.diskId_ = "disk-1";
  {
    auto opened = OpenFileLog(OsFileSystem(), path, "disk-1");
    REQUIRE(IsOk(opened));
    CHECK(ValueOf(opened).stored_ == expected);
    auto& store = *ValueOf(opened).store_;
    expected.hardState_ = { 3, VoterId{ "n2", "disk-2" } };
    CHECK(IsOk(store.Save(SaveHardState{ expected.hardState_ })));
    CHECK(IsOk(store.Save(SaveEntries{ MakeEntries(1, 3000, 1) })));
    CHECK(IsOk(store.Save(SaveEntries{ MakeEntries(2001, 1000, 2) })));
    expected.snapshot_ = { 1500, 1, { { { "n1", "d1" } } }, "state" };
    CHECK(IsOk(store.Save(SaveSnapshot{ expected.snapshot_, false })));
    for (std::uint64_t i = 3001; i <= 3050; ++i) {
      CHECK(IsOk(store.Save(SaveEntries{ MakeEntries(i, 1, 3) })));
    }
  }
  expected.entries_ = MakeEntries(1501, 500, 1);
  for (const auto& part :
       { MakeEntries(2001, 1000, 2), MakeEntries(3001, 50, 3) }) {
    expected.entries_.insert(expected.entries_.end(), part.begin(), part.end());
  }
  CHECK(Reopen(OsFileSystem(), path) == expected);
  CHECK(Reopen(OsFileSystem(), path) == expected);
}
