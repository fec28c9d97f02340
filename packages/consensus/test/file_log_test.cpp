#include "consensus/log_store_base.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <filesystem>
#include <map>
#include <sys/file.h>
#include <unistd.h>
#include <variant>

using namespace acaciahill;

namespace {

/// A temporary data folder, removed by the destructor.
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

enum class Fault
{
  FullDisk,   ///< Nothing is written.
  ShortWrite, ///< A part of an append is written; a replacement fails.
  FailedSync, ///< Everything is written, but the operation fails.
};

/// A file system in memory. A given write operation and all later ones fail.
class FaultyFiles : public FileSystem
{
public:
  FaultyFiles() = default;
  FaultyFiles(const FaultyFiles& aOther)
    : FileSystem()
    , files_(aOther.files_)
  {
  }
  FaultyFiles& operator=(const FaultyFiles&) = delete;
  ~FaultyFiles() override = default;

  Result<std::string> Read(const std::string& aPath) override
  {
    if (!files_.contains(aPath)) {
      return Error{ ErrorKind::IoError, "no such file" };
    }
    return files_.at(aPath);
  }
  bool Exists(const std::string& aPath) override
  {
    return files_.contains(aPath);
  }
  Result<Done> AppendSynced(const std::string& aPath,
                            const std::string& aBytes) override
  {
    const auto size = BytesWritten(aBytes.size());
    files_[aPath] += aBytes.substr(0, size);
    return Outcome();
  }
  Result<Done> ReplaceSynced(const std::string& aPath,
                             const std::string& aBytes) override
  {
    if (BytesWritten(aBytes.size()) == aBytes.size()) {
      files_[aPath] = aBytes;
    }
    return Outcome();
  }
  Result<Done> TruncateSynced(const std::string& aPath,
                              std::uint64_t aLength) override
  {
    files_[aPath].resize(aLength);
    return Done{};
  }
  Result<Done> MakeFolder(const std::string&) override { return Done{}; }

  /// Write operations that succeed before the fault; negative for no fault.
  int writesBeforeFault_ = -1;
  Fault fault_ = Fault::FullDisk;
  std::size_t shortSize_ = 0;
  int failures_ = 0;
  std::map<std::string, std::string> files_;

private:
  std::size_t BytesWritten(std::size_t aSize)
  {
    failed_ = writesBeforeFault_ == 0;
    if (!failed_) {
      --writesBeforeFault_;
      return aSize;
    }
    ++failures_;
    return fault_ == Fault::FullDisk     ? 0
           : fault_ == Fault::ShortWrite ? std::min(shortSize_, aSize - 1)
                                         : aSize;
  }
  Result<Done> Outcome() const
  {
    if (failed_) {
      return Error{ ErrorKind::IoError, "injected" };
    }
    return Done{};
  }

  bool failed_ = false;
};

using SaveAction = std::variant<SaveHardState, SaveEntries, SaveSnapshot>;

std::vector<LogEntry>
MakeEntries(std::uint64_t aFirst, std::uint64_t aCount, std::uint64_t aTerm)
{
  std::vector<LogEntry> entries;
  for (auto i = aFirst; i < aFirst + aCount; ++i) {
    const auto kind = i % 5 == 0 ? EntryKind::Voters : EntryKind::Command;
    entries.push_back({ i, aTerm, kind, "command " + std::to_string(i) });
  }
  return entries;
}

const VoterSet kVoters{ { { "n1", "d1" }, { "n2", "d2" } } };

/// Saves of each kind, with entries that replace others.
const std::vector<SaveAction> kSaveSequence = {
  SaveSnapshot{ { 0, 0, kVoters, "genesis" }, false },
  SaveHardState{ { 1, VoterId{ "n2", "d2" } } },
  SaveEntries{ MakeEntries(1, 5, 1) },
  SaveEntries{ MakeEntries(4, 3, 2) },
  SaveEntries{ MakeEntries(7, 1, 2) },
  SaveSnapshot{ { 5, 2, kVoters, "state at 5" }, false },
  SaveEntries{ MakeEntries(8, 1, 2) },
  SaveEntries{ MakeEntries(6, 4, 3) },
  SaveHardState{ { 4, std::nullopt } },
  // The log has another entry at this snapshot's last index, so all of it is
  // dropped.
  SaveSnapshot{ { 8, 4, kVoters, "state at 8" }, true },
  SaveEntries{ MakeEntries(9, 2, 4) },
};

/// The content that the store must have after a save.
StoredLog
ExpectedAfter(StoredLog aLog, const SaveAction& aAction)
{
  if (const auto* state = std::get_if<SaveHardState>(&aAction)) {
    aLog.hardState_ = state->state_;
  } else if (const auto* save = std::get_if<SaveEntries>(&aAction)) {
    std::erase_if(aLog.entries_, [save](const LogEntry& aEntry) {
      return aEntry.index_ >= save->entries_[0].index_;
    });
    aLog.entries_.insert(
      aLog.entries_.end(), save->entries_.begin(), save->entries_.end());
  } else if (const auto* taken = std::get_if<SaveSnapshot>(&aAction)) {
    aLog.snapshot_ = taken->snapshot_;
    std::erase_if(aLog.entries_, [taken](const LogEntry& aEntry) {
      return taken->reset_ || aEntry.index_ <= taken->snapshot_.lastIndex_;
    });
  }
  return aLog;
}

Result<Done>
SaveTo(LogStore& aStore, const SaveAction& aAction)
{
  return std::visit(
    [&aStore](const auto& aValue) { return aStore.Save(aValue); }, aAction);
}

StoredLog
Reopen(FileSystem& aFiles, const std::string& aFolder)
{
  auto opened = OpenFileLog(aFiles, aFolder, "another-id");
  REQUIRE(IsOk(opened));
  return ValueOf(opened).stored_;
}

/// A file system after the first aSaves saves of kSaveSequence, and the content
/// expected in it.
std::pair<FaultyFiles, StoredLog>
MakeFiles(std::size_t aSaves)
{
  FaultyFiles files;
  StoredLog expected{ "disk-1", {}, {}, {} };
  auto opened = OpenFileLog(files, "d", "disk-1");
  for (std::size_t i = 0; i < aSaves; ++i) {
    REQUIRE(IsOk(SaveTo(*ValueOf(opened).store_, kSaveSequence[i])));
    expected = ExpectedAfter(expected, kSaveSequence[i]);
  }
  return { files, expected };
}

} // namespace

// Guards against data that is lost or changed by a restart.
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
    std::vector<SaveAction> saves = {
      SaveHardState{ { 3, VoterId{ "n2", "disk-2" } } },
      SaveEntries{ MakeEntries(1, 3000, 1) },
      SaveEntries{ MakeEntries(2001, 5000, 2) },
      SaveSnapshot{ { 1500, 1, kVoters, std::string(100000, '\xac') }, false },
    };
    for (std::uint64_t i = 7001; i <= 7050; ++i) {
      saves.emplace_back(SaveEntries{ MakeEntries(i, 1, 3) });
    }
    for (const auto& save : saves) {
      REQUIRE(IsOk(SaveTo(store, save)));
      expected = ExpectedAfter(expected, save);
    }
  }
  CHECK(Reopen(OsFileSystem(), path) == expected);
  CHECK(Reopen(OsFileSystem(), path) == expected);
}

// Guards against a store that acknowledges a save after a failure, and against
// content after the restart that is neither the last acknowledged one nor the
// one of the failed save. The fault is injected at each write operation in
// turn, and at each length of an append.
TEST_CASE("a failed write or sync stops the store and loses nothing")
{
  const auto fault =
    GENERATE(Fault::FullDisk, Fault::ShortWrite, Fault::FailedSync);
  bool failed = true;
  for (int writes = 0; failed; ++writes) {
    failed = false;
    const std::size_t sizes = fault == Fault::ShortWrite ? 300 : 1;
    for (std::size_t size = 0; size < sizes; ++size) {
      INFO("after " << writes << " writes, size " << size);
      FaultyFiles files;
      files.writesBeforeFault_ = writes;
      files.fault_ = fault;
      files.shortSize_ = size;
      StoredLog acknowledged{ "disk-1", {}, {}, {} };
      StoredLog next = acknowledged;
      auto opened = OpenFileLog(files, "d", "disk-1");
      for (const auto& action : kSaveSequence) {
        if (IsOk(opened)) {
          next = ExpectedAfter(acknowledged, action);
          if (IsOk(SaveTo(*ValueOf(opened).store_, action))) {
            acknowledged = next;
            continue;
          }
        }
        failed = true;
        break;
      }
      if (!failed) {
        break;
      }
      if (IsOk(opened)) {
        const auto failures = files.failures_;
        for (const auto& action : kSaveSequence) {
          CHECK_FALSE(IsOk(SaveTo(*ValueOf(opened).store_, action)));
        }
        CHECK(files.failures_ == failures);
      }
      files.writesBeforeFault_ = -1;
      auto again = OpenFileLog(files, "d", "disk-1");
      REQUIRE(IsOk(again));
      const auto stored = ValueOf(again).stored_;
      CHECK((stored == acknowledged || stored == next));
      const SaveAction more = SaveHardState{ { 9, std::nullopt } };
      CHECK(IsOk(SaveTo(*ValueOf(again).store_, more)));
      CHECK(Reopen(files, "d") == ExpectedAfter(stored, more));
    }
  }
}

// Guards against an incomplete last record that makes the log unreadable or is
// accepted: truncated at each byte, or with zeros for the bytes not yet
// written.
TEST_CASE("a torn tail is cut off")
{
  const auto [before, expected] = MakeFiles(7);
  const auto [whole, last] = MakeFiles(8);
  const auto start = before.files_.at("d/log").size();
  const auto size = whole.files_.at("d/log").size();
  REQUIRE(size > start);
  for (auto at = start; at < size; ++at) {
    for (const bool zeros : { false, true }) {
      INFO("cut at " << at << " of " << size << ", zeros " << zeros);
      auto files = whole;
      auto& log = files.files_["d/log"];
      log.resize(at);
      log.resize(zeros ? size : at);
      auto opened = OpenFileLog(files, "d", "x");
      REQUIRE(IsOk(opened));
      CHECK(ValueOf(opened).stored_ == expected);
      CHECK(IsOk(SaveTo(*ValueOf(opened).store_, kSaveSequence[7])));
      CHECK(Reopen(files, "d") == last);
    }
  }
}

// Guards against damaged data that is accepted as valid, or that drops
// acknowledged entries without an error.
TEST_CASE("a flipped bit is found in each region")
{
  struct Row
  {
    const char* path_;
    ErrorKind kind_;
    bool reopened_;
  };
  const auto row =
    GENERATE(Row{ "d/disk_id", ErrorKind::CorruptLog, false },
             Row{ "d/hard_state", ErrorKind::CorruptLog, false },
             Row{ "d/snapshot", ErrorKind::CorruptSnapshot, false },
             Row{ "d/log", ErrorKind::CorruptLog, false },
             // After a restart all records count as complete, so damage in the
             // last one is an error too.
             Row{ "d/log", ErrorKind::CorruptLog, true });
  auto [good, last] = MakeFiles(8);
  auto [before, expected] = MakeFiles(7);
  auto tail = good.files_.at(row.path_).size();
  if (row.reopened_) {
    Reopen(good, "d");
    tail = good.files_.at(row.path_).size();
  } else if (row.kind_ == ErrorKind::CorruptLog &&
             row.path_ == std::string("d/log")) {
    tail = before.files_.at(row.path_).size();
  }
  for (std::size_t at = 0; at < good.files_.at(row.path_).size(); ++at) {
    for (int bit = 0; bit < 8; ++bit) {
      INFO(row.path_ << ", byte " << at << ", bit " << bit);
      auto files = good;
      auto& byte = files.files_[row.path_][at];
      byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << bit));
      const auto opened = OpenFileLog(files, "d", "x");
      if (at >= tail) {
        // A damaged last record cannot be distinguished from an incomplete one.
        REQUIRE(IsOk(opened));
        CHECK(ValueOf(opened).stored_ == expected);
      } else {
        REQUIRE_FALSE(IsOk(opened));
        CHECK(ErrorOf(opened).kind_ == row.kind_);
      }
    }
  }
}

// Guards against initializing a data folder again when some files are left.
TEST_CASE("a missing file is an error and not an empty folder")
{
  const auto path = GENERATE(
    as<std::string>(), "d/disk_id", "d/hard_state", "d/snapshot", "d/log");
  auto [files, expected] = MakeFiles(8);
  files.files_.erase(path);
  CHECK_FALSE(IsOk(OpenFileLog(files, "d", "x")));
}

// Guards against two processes that vote with the same disk id.
TEST_CASE("a data folder that another process uses is refused")
{
  const TemporaryFolder folder;
  const auto path = folder.path_ + "/lock";
  // The lock belongs to the open file description, so this acts like another
  // process.
  const int other = ::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
  REQUIRE(::flock(other, LOCK_EX | LOCK_NB) == 0);
  const auto refused = OpenFileLog(OsFileSystem(), folder.path_, "x");
  REQUIRE_FALSE(IsOk(refused));
  CHECK(ErrorOf(refused).kind_ == ErrorKind::IoError);
  ::close(other);
  CHECK(IsOk(OpenFileLog(OsFileSystem(), folder.path_, "x")));
}

// Guards against reading command data that looks like a log record as a record.
TEST_CASE("a log inside a command is not taken for records")
{
  auto [files, expected] = MakeFiles(4);
  const auto inner = files.files_.at("d/log");
  auto opened = OpenFileLog(files, "d", "x");
  const SaveAction save =
    SaveEntries{ { { 7, 2, EntryKind::Command, inner } } };
  REQUIRE(IsOk(SaveTo(*ValueOf(opened).store_, save)));
  files.files_["d/log"].pop_back();
  CHECK(Reopen(files, "d") == expected);
}
