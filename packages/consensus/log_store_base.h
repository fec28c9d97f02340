#pragma once

#include "consensus/raft_type.h"
#include "kernel/error_type.h"

#include <memory>
#include <string>
#include <vector>

namespace acaciahill {

/// The content of a data folder.
struct StoredLog
{
  /// Random id of the folder, generated when it was created.
  std::string diskId_;
  HardState hardState_;
  Snapshot snapshot_;
  std::vector<LogEntry> entries_;

  bool operator==(const StoredLog&) const = default;
};

/// Durable storage of one voter. Save returns after its data is synced to disk.
/// After an error every later call fails with that error; the process has to
/// end.
class LogStore
{
public:
  LogStore() = default;
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;
  virtual ~LogStore() = default;

  virtual Result<Done> Save(const SaveHardState& aAction) = 0;
  virtual Result<Done> Save(const SaveEntries& aAction) = 0;
  virtual Result<Done> Save(const SaveSnapshot& aAction) = 0;
};

/// An open data folder: its content when opened, and the store for later saves.
struct OpenedLog
{
  StoredLog stored_;
  std::unique_ptr<LogStore> store_;
};

/// File operations of the log store, an interface so that tests can inject
/// failures. Paths are plain file paths.
class FileSystem
{
public:
  FileSystem() = default;
  FileSystem(const FileSystem&) = delete;
  FileSystem& operator=(const FileSystem&) = delete;
  virtual ~FileSystem() = default;

  /// Reads a whole file. Errors: IoError, also when it does not exist.
  virtual Result<std::string> Read(const std::string& aPath) = 0;
  virtual bool Exists(const std::string& aPath) = 0;
  /// Appends to a file, which is created when missing, and syncs it.
  virtual Result<Done> AppendSynced(const std::string& aPath,
                                    const std::string& aBytes) = 0;
  /// Replaces a file's content atomically: after a crash the file has either
  /// the old content or the new one. The folder is synced too.
  virtual Result<Done> ReplaceSynced(const std::string& aPath,
                                     const std::string& aBytes) = 0;
  /// Truncates a file to a length in bytes and syncs it.
  virtual Result<Done> TruncateSynced(const std::string& aPath,
                                      std::uint64_t aLength) = 0;
  virtual Result<Done> MakeFolder(const std::string& aPath) = 0;
  /// Locks a folder against other processes until this process ends. Errors:
  /// IoError when another process holds the lock. The default does nothing.
  virtual Result<Done> LockFolder(const std::string& aPath);
};

/// The file system of the operating system.
FileSystem&
OsFileSystem();

/// Opens a data folder. A folder that does not exist or is empty is created
/// with aNewDiskId. An incomplete last record of the log is cut off. Errors:
/// CorruptLog for damage before the last record and for a damaged or missing
/// disk id or hard state; CorruptSnapshot for a damaged snapshot. The folder is
/// locked, as two processes with the same disk id could vote twice in a term.
/// aFiles must outlive the store.
Result<OpenedLog>
OpenFileLog(FileSystem& aFiles,
            const std::string& aFolder,
            const std::string& aNewDiskId);

} // namespace acaciahill
