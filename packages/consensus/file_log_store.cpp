#include "consensus/log_codec_func.h"
#include "consensus/log_store_base.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace acaciahill {

namespace {

using detail::FromBytes;
using detail::MakeFrame;
using detail::ReadFrame;
using detail::ToBytes;
using detail::ToJson;

constexpr std::string_view kLogMagic = "ACALOG1\n";
constexpr std::size_t kSizeDigits = 20;

// Entries per record when the log file is rewritten; limits the memory needed
// for encoding.
constexpr std::size_t kMaxEntriesPerRecord = 1024;

// The length field of a frame has 32 bits.
constexpr std::size_t kMaxPayloadBytes = 0xffffffff;

/// The files of a data folder.
struct Paths
{
  explicit Paths(const std::string& aFolder)
    : diskId_(aFolder + "/disk_id")
    , hardState_(aFolder + "/hard_state")
    , snapshot_(aFolder + "/snapshot")
    , log_(aFolder + "/log")
  {
  }

  std::string diskId_;
  std::string hardState_;
  std::string snapshot_;
  std::string log_;
};

/// Checksum seed of a data folder, derived from its disk id; in the log the
/// offset of a frame is added. So neither a file of another folder nor a frame
/// contained in a command's data is accepted as a record.
std::uint64_t
ChecksumSeed(const std::string& aDiskId)
{
  return XXH64(aDiskId.data(), aDiskId.size(), 0);
}

/// Encodes a complete log file. Its header holds the size of the records that
/// follow. These are synced together with the header, so damage in them is
/// corruption and never an append that a crash cut short.
std::string
EncodeLog(const std::vector<LogEntry>& aEntries, std::uint64_t aSeed)
{
  const auto makeHeader = [aSeed](std::uint64_t aSize) {
    // A string of fixed length keeps the header's size independent of aSize.
    auto digits = std::to_string(aSize);
    digits.insert(0, kSizeDigits - digits.size(), '0');
    return std::string(kLogMagic) + MakeFrame(digits, aSeed + kLogMagic.size());
  };
  const auto headerSize = makeHeader(0).size();
  std::string records;
  for (std::size_t at = 0; at < aEntries.size(); at += kMaxEntriesPerRecord) {
    const auto begin = aEntries.begin() + static_cast<std::ptrdiff_t>(at);
    const auto end = std::min(at + kMaxEntriesPerRecord, aEntries.size()) - at;
    const std::vector<LogEntry> part(begin,
                                     begin + static_cast<std::ptrdiff_t>(end));
    records +=
      MakeFrame(ToBytes(ToJson(part)), aSeed + headerSize + records.size());
  }
  return makeHeader(records.size()) + records;
}

/// Adds the entries of one record to the log and replaces those at or after its
/// first index. False when the record is empty or leaves a gap.
bool
MergeRecord(std::vector<LogEntry>& aLog, std::vector<LogEntry> aRecord)
{
  if (aRecord.empty()) {
    return false;
  }
  for (std::size_t i = 1; i < aRecord.size(); ++i) {
    if (aRecord[i].index_ != aRecord[0].index_ + i) {
      return false;
    }
  }
  const auto first = aRecord[0].index_;
  while (!aLog.empty() && aLog.back().index_ >= first) {
    aLog.pop_back();
  }
  if (!aLog.empty() && aLog.back().index_ + 1 != first) {
    return false;
  }
  aLog.insert(aLog.end(),
              std::make_move_iterator(aRecord.begin()),
              std::make_move_iterator(aRecord.end()));
  return true;
}

Error
CorruptAt(const std::string& aPath, std::size_t aOffset, const char* aWhat)
{
  return { ErrorKind::CorruptLog,
           aPath + " is damaged at byte " + std::to_string(aOffset) + ": " +
             aWhat };
}

/// Decodes a log file. An invalid appended record at its end is skipped: it was
/// being written when the process or the machine stopped, so it was never
/// acknowledged.
Result<std::vector<LogEntry>>
ParseLog(const std::string& aPath, std::string_view aBytes, std::uint64_t aSeed)
{
  std::size_t at = kLogMagic.size();
  const auto header = aBytes.starts_with(kLogMagic)
                        ? ReadFrame(aBytes.substr(at), aSeed + at)
                        : std::nullopt;
  if (!header || header->payload_.size() != kSizeDigits) {
    return CorruptAt(aPath, 0, "no valid header");
  }
  at += header->size_;
  const auto syncedEnd = at + std::stoull(std::string(header->payload_));
  std::vector<LogEntry> entries;
  while (at < aBytes.size()) {
    const auto rest = aBytes.substr(at);
    const auto frame = ReadFrame(rest, aSeed + at);
    if (!frame) {
      if (detail::HasFrame(rest.substr(1), aSeed + at + 1)) {
        return CorruptAt(aPath, at, "a bad record that is not the last one");
      }
      break;
    }
    auto record = FromBytes(frame->payload_, detail::ToEntries);
    if (!record || !MergeRecord(entries, std::move(*record))) {
      return CorruptAt(aPath, at, "a record that does not continue the log");
    }
    at += frame->size_;
  }
  if (at < syncedEnd) {
    return CorruptAt(aPath, at, "a bad record that was complete before");
  }
  return entries;
}

/// Drops the entries that the snapshot covers. They are present after a crash
/// between the replacements of the snapshot file and of the log file. Entries
/// after the snapshot are kept only if the log holds the snapshot's last entry,
/// since otherwise they are not known to follow it.
Result<std::vector<LogEntry>>
DropCoveredEntries(const std::string& aPath,
                   std::vector<LogEntry> aEntries,
                   const Snapshot& aSnapshot)
{
  if (aEntries.empty() || aEntries[0].index_ == aSnapshot.lastIndex_ + 1) {
    return aEntries;
  }
  if (aEntries[0].index_ > aSnapshot.lastIndex_) {
    return CorruptAt(
      aPath, kLogMagic.size(), "entries after the snapshot are missing");
  }
  const auto covered = aSnapshot.lastIndex_ - aEntries[0].index_ + 1;
  if (covered > aEntries.size() ||
      aEntries[covered - 1].term_ != aSnapshot.lastTerm_) {
    return std::vector<LogEntry>{};
  }
  aEntries.erase(aEntries.begin(),
                 aEntries.begin() + static_cast<std::ptrdiff_t>(covered));
  return aEntries;
}

class FileLogStore : public LogStore
{
public:
  FileLogStore(FileSystem& aFiles,
               Paths aPaths,
               const StoredLog& aStored,
               std::uint64_t aLogSize)
    : files_(aFiles)
    , paths_(std::move(aPaths))
    , seed_(ChecksumSeed(aStored.diskId_))
    , snapshotIndex_(aStored.snapshot_.lastIndex_)
    , lastIndex_(aStored.entries_.empty() ? snapshotIndex_
                                          : aStored.entries_.back().index_)
    , logSize_(aLogSize)
  {
  }

  Result<Done> Save(const SaveHardState& aAction) override
  {
    return RunUnlessFailed([&] {
      return files_.ReplaceSynced(
        paths_.hardState_, MakeFrame(ToBytes(ToJson(aAction.state_)), seed_));
    });
  }

  Result<Done> Save(const SaveEntries& aAction) override
  {
    return RunUnlessFailed([&] { return Append(aAction.entries_); });
  }

  Result<Done> Save(const SaveSnapshot& aAction) override
  {
    return RunUnlessFailed([&] { return Compact(aAction); });
  }

private:
  /// Runs an operation unless an earlier one failed. After a failed sync the
  /// state of the file is unknown, so nothing more may be acknowledged.
  template<typename Operation>
  Result<Done> RunUnlessFailed(Operation aOperation)
  {
    if (failure_) {
      return *failure_;
    }
    Result<Done> result = aOperation();
    if (!IsOk(result)) {
      failure_ = ErrorOf(result);
    }
    return result;
  }

  Result<Done> Append(const std::vector<LogEntry>& aEntries)
  {
    if (aEntries.empty()) {
      return Done{};
    }
    if (aEntries[0].index_ <= snapshotIndex_ ||
        aEntries[0].index_ > lastIndex_ + 1) {
      return Error{ ErrorKind::Internal,
                    "entry " + std::to_string(aEntries[0].index_) +
                      " does not continue the log, which ends at " +
                      std::to_string(lastIndex_) };
    }
    // All entries of one save are one record: after a crash either all or none
    // of them are present.
    const auto payload = ToBytes(ToJson(aEntries));
    if (payload.size() > kMaxPayloadBytes) {
      return Error{ ErrorKind::Internal, "the entries exceed 4 GB" };
    }
    const auto frame = MakeFrame(payload, seed_ + logSize_);
    auto result = files_.AppendSynced(paths_.log_, frame);
    logSize_ += frame.size();
    lastIndex_ = aEntries.back().index_;
    return result;
  }

  Result<Done> Compact(const SaveSnapshot& aAction)
  {
    const auto& snapshot = aAction.snapshot_;
    const auto payload = ToBytes(ToJson(snapshot));
    if (payload.size() > kMaxPayloadBytes) {
      return Error{ ErrorKind::Internal, "the snapshot exceeds 4 GB" };
    }
    const auto bytes = files_.Read(paths_.log_);
    if (!IsOk(bytes)) {
      return ErrorOf(bytes);
    }
    auto entries = ParseLog(paths_.log_, ValueOf(bytes), seed_);
    if (!IsOk(entries)) {
      return ErrorOf(entries);
    }
    auto kept = aAction.reset_ ? Result<std::vector<LogEntry>>()
                               : DropCoveredEntries(paths_.log_,
                                                    ValueOf(std::move(entries)),
                                                    snapshot);
    if (!IsOk(kept)) {
      return ErrorOf(kept);
    }
    auto result =
      files_.ReplaceSynced(paths_.snapshot_, MakeFrame(payload, seed_));
    if (!IsOk(result)) {
      return result;
    }
    const auto log = EncodeLog(ValueOf(kept), seed_);
    snapshotIndex_ = snapshot.lastIndex_;
    lastIndex_ =
      ValueOf(kept).empty() ? snapshotIndex_ : ValueOf(kept).back().index_;
    logSize_ = log.size();
    return files_.ReplaceSynced(paths_.log_, log);
  }

  FileSystem& files_;
  Paths paths_;
  std::uint64_t seed_;
  std::uint64_t snapshotIndex_;
  std::uint64_t lastIndex_;
  /// Size of the log file in bytes; the offset of the next record.
  std::uint64_t logSize_;
  std::optional<Error> failure_;
};

/// Creates the files of a new folder. The disk id is written last. A folder
/// without it may hold only files of an interrupted creation, which have the
/// size of the initial files; anything else is CorruptLog.
Result<Done>
Create(FileSystem& aFiles, const Paths& aPaths, const std::string& aDiskId)
{
  const auto seed = ChecksumSeed(aDiskId);
  const std::array files = {
    std::pair{ aPaths.log_, EncodeLog({}, seed) },
    std::pair{ aPaths.snapshot_, MakeFrame(ToBytes(ToJson(Snapshot{})), seed) },
    std::pair{ aPaths.hardState_,
               MakeFrame(ToBytes(ToJson(HardState{})), seed) },
    std::pair{ aPaths.diskId_, MakeFrame(aDiskId, 0) },
  };
  for (const auto& [path, bytes] : files) {
    if (!aFiles.Exists(path)) {
      continue;
    }
    const auto old = aFiles.Read(path);
    if (!IsOk(old)) {
      return ErrorOf(old);
    }
    if (ValueOf(old).size() != bytes.size()) {
      return Error{ ErrorKind::CorruptLog,
                    path + " holds data but " + aPaths.diskId_ +
                      " is missing" };
    }
  }
  for (const auto& [path, bytes] : files) {
    auto result = aFiles.ReplaceSynced(path, bytes);
    if (!IsOk(result)) {
      return result;
    }
  }
  return Done{};
}

/// Reads the payload of a file that consists of one frame. aKind is the error
/// when the file is missing or damaged.
Result<std::string>
ReadFramed(FileSystem& aFiles,
           const std::string& aPath,
           std::uint64_t aSeed,
           ErrorKind aKind)
{
  if (!aFiles.Exists(aPath)) {
    return Error{ aKind, aPath + " is missing from the data folder" };
  }
  auto bytes = aFiles.Read(aPath);
  if (!IsOk(bytes)) {
    return bytes;
  }
  const auto frame = ReadFrame(ValueOf(bytes), aSeed);
  if (!frame || frame->size_ != ValueOf(bytes).size()) {
    return Error{ aKind, aPath + " is damaged: its checksum does not match" };
  }
  return std::string(frame->payload_);
}

/// Reads and decodes a file that consists of one frame.
template<typename Decode>
auto
ReadValue(FileSystem& aFiles,
          const std::string& aPath,
          std::uint64_t aSeed,
          ErrorKind aKind,
          Decode aDecode) -> Result<decltype(aDecode(nlohmann::json()))>
{
  const auto payload = ReadFramed(aFiles, aPath, aSeed, aKind);
  if (!IsOk(payload)) {
    return ErrorOf(payload);
  }
  auto value = FromBytes(ValueOf(payload), aDecode);
  if (!value) {
    return Error{ aKind, aPath + " has an unknown form" };
  }
  return *std::move(value);
}

Result<StoredLog>
Load(FileSystem& aFiles, const Paths& aPaths)
{
  auto diskId = ReadFramed(aFiles, aPaths.diskId_, 0, ErrorKind::CorruptLog);
  if (!IsOk(diskId)) {
    return ErrorOf(diskId);
  }
  const auto seed = ChecksumSeed(ValueOf(diskId));
  auto hardState = ReadValue(aFiles,
                             aPaths.hardState_,
                             seed,
                             ErrorKind::CorruptLog,
                             detail::ToHardState);
  if (!IsOk(hardState)) {
    return ErrorOf(hardState);
  }
  auto snapshot = ReadValue(aFiles,
                            aPaths.snapshot_,
                            seed,
                            ErrorKind::CorruptSnapshot,
                            detail::ToSnapshot);
  if (!IsOk(snapshot)) {
    return ErrorOf(snapshot);
  }
  const auto bytes = aFiles.Read(aPaths.log_);
  if (!IsOk(bytes)) {
    return ErrorOf(bytes);
  }
  auto entries = ParseLog(aPaths.log_, ValueOf(bytes), seed);
  if (IsOk(entries)) {
    entries = DropCoveredEntries(
      aPaths.log_, ValueOf(std::move(entries)), ValueOf(snapshot));
  }
  if (!IsOk(entries)) {
    return ErrorOf(entries);
  }
  return StoredLog{ ValueOf(std::move(diskId)),
                    ValueOf(std::move(hardState)),
                    ValueOf(std::move(snapshot)),
                    ValueOf(std::move(entries)) };
}

} // namespace

Result<Done>
FileSystem::LockFolder(const std::string&)
{
  return Done{};
}

Result<OpenedLog>
OpenFileLog(FileSystem& aFiles,
            const std::string& aFolder,
            const std::string& aNewDiskId)
{
  const Paths paths(aFolder);
  auto result = aFiles.MakeFolder(aFolder);
  if (IsOk(result)) {
    result = aFiles.LockFolder(aFolder);
  }
  if (IsOk(result) && !aFiles.Exists(paths.diskId_)) {
    result = Create(aFiles, paths, aNewDiskId);
  }
  if (!IsOk(result)) {
    return ErrorOf(result);
  }
  auto stored = Load(aFiles, paths);
  if (!IsOk(stored)) {
    return ErrorOf(stored);
  }
  // If the last process ended after a failed sync, the data just read may be in
  // the page cache only. It is written again, so that it is durable before the
  // member acts on it. This also cuts off an incomplete last record and drops
  // replaced entries.
  const auto seed = ChecksumSeed(ValueOf(stored).diskId_);
  const auto log = EncodeLog(ValueOf(stored).entries_, seed);
  result = aFiles.ReplaceSynced(paths.log_, log);
  if (IsOk(result)) {
    result = aFiles.ReplaceSynced(
      paths.hardState_,
      MakeFrame(ToBytes(ToJson(ValueOf(stored).hardState_)), seed));
  }
  if (!IsOk(result)) {
    return ErrorOf(result);
  }
  auto store =
    std::make_unique<FileLogStore>(aFiles, paths, ValueOf(stored), log.size());
  return OpenedLog{ ValueOf(std::move(stored)), std::move(store) };
}

} // namespace acaciahill
