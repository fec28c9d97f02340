#include "consensus/log_store_base.h"

#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <map>
#include <mutex>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace acaciahill {

namespace {

Error
SystemError(const char* aOperation, const std::string& aPath)
{
  return { ErrorKind::IoError,
           std::string(aOperation) + " " + aPath + ": " +
             std::generic_category().message(errno) };
}

/// Owner of a file descriptor; closes it when destroyed.
class Descriptor
{
public:
  Descriptor() = default;
  Descriptor(const std::string& aPath, int aFlags)
    : number_(::open(aPath.c_str(), aFlags | O_CLOEXEC, 0644))
  {
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor() { Close(); }

  bool IsOpen() const { return number_ >= 0; }
  int Number() const { return number_; }
  /// True when the path still refers to the open file.
  bool IsFileAt(const std::string& aPath) const
  {
    struct stat open = {};
    struct stat found = {};
    return ::fstat(number_, &open) == 0 && ::stat(aPath.c_str(), &found) == 0 &&
           open.st_dev == found.st_dev && open.st_ino == found.st_ino;
  }
  void Reopen(const std::string& aPath, int aFlags)
  {
    Close();
    number_ = ::open(aPath.c_str(), aFlags | O_CLOEXEC, 0644);
  }
  void Close()
  {
    if (number_ >= 0) {
      ::close(number_);
      number_ = -1;
    }
  }

private:
  int number_ = -1;
};

bool
WriteAll(const Descriptor& aFile, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const auto written = ::write(aFile.Number(), aBytes.data(), aBytes.size());
    if (written < 0 && errno != EINTR) {
      return false;
    }
    aBytes.remove_prefix(written < 0 ? 0 : static_cast<std::size_t>(written));
  }
  return true;
}

std::string
FolderOf(const std::string& aPath)
{
  const auto folder = std::filesystem::path(aPath).parent_path().string();
  return folder.empty() ? "." : folder;
}

Result<Done>
SyncFolder(const std::string& aFolder)
{
  const Descriptor folder(aFolder, O_RDONLY | O_DIRECTORY);
  if (!folder.IsOpen() || ::fsync(folder.Number()) != 0) {
    return SystemError("sync folder", aFolder);
  }
  return Done{};
}

class PosixFileSystem : public FileSystem
{
public:
  Result<std::string> Read(const std::string& aPath) override
  {
    const Descriptor file(aPath, O_RDONLY);
    if (!file.IsOpen()) {
      return SystemError("open", aPath);
    }
    struct stat status = {};
    if (::fstat(file.Number(), &status) != 0) {
      return SystemError("stat", aPath);
    }
    std::string bytes(static_cast<std::size_t>(status.st_size), '\0');
    std::size_t filled = 0;
    while (filled < bytes.size()) {
      const auto count =
        ::read(file.Number(), bytes.data() + filled, bytes.size() - filled);
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count < 0) {
        return SystemError("read", aPath);
      }
      if (count == 0) {
        break;
      }
      filled += static_cast<std::size_t>(count);
    }
    bytes.resize(filled);
    return bytes;
  }

  bool Exists(const std::string& aPath) override
  {
    struct stat status = {};
    // A file that cannot be examined counts as present, so that it is not
    // overwritten by a new one.
    return ::stat(aPath.c_str(), &status) == 0 ||
           (errno != ENOENT && errno != ENOTDIR);
  }

  Result<Done> AppendSynced(const std::string& aPath,
                            const std::string& aBytes) override
  {
    const std::lock_guard lock(mutex_);
    if (appendPath_ != aPath || !appendFile_.IsOpen()) {
      const bool isNew = !Exists(aPath);
      appendFile_.Reopen(aPath, O_WRONLY | O_APPEND | O_CREAT);
      appendPath_ = aPath;
      if (!appendFile_.IsOpen()) {
        return SystemError("open", aPath);
      }
      if (isNew) {
        auto result = SyncFolder(FolderOf(aPath));
        if (!IsOk(result)) {
          return result;
        }
      }
    }
    if (!WriteAll(appendFile_, aBytes)) {
      return SystemError("write", aPath);
    }
    if (::fdatasync(appendFile_.Number()) != 0) {
      return SystemError("sync", aPath);
    }
    // Writes to a file that was moved or removed still succeed through the open
    // descriptor, but the data would be lost at the next restart.
    if (!appendFile_.IsFileAt(aPath)) {
      return Error{ ErrorKind::IoError,
                    aPath + " was moved or removed while in use" };
    }
    return Done{};
  }

  Result<Done> ReplaceSynced(const std::string& aPath,
                             const std::string& aBytes) override
  {
    CloseAppendFile(aPath);
    const auto temporary = aPath + ".tmp";
    Descriptor file(temporary, O_WRONLY | O_CREAT | O_TRUNC);
    if (!file.IsOpen()) {
      return SystemError("open", temporary);
    }
    if (!WriteAll(file, aBytes)) {
      return SystemError("write", temporary);
    }
    if (::fsync(file.Number()) != 0) {
      return SystemError("sync", temporary);
    }
    file.Close();
    if (::rename(temporary.c_str(), aPath.c_str()) != 0) {
      return SystemError("rename to", aPath);
    }
    return SyncFolder(FolderOf(aPath));
  }

  Result<Done> TruncateSynced(const std::string& aPath,
                              std::uint64_t aLength) override
  {
    const Descriptor file(aPath, O_WRONLY);
    if (!file.IsOpen()) {
      return SystemError("open", aPath);
    }
    if (::ftruncate(file.Number(), static_cast<off_t>(aLength)) != 0) {
      return SystemError("truncate", aPath);
    }
    if (::fsync(file.Number()) != 0) {
      return SystemError("sync", aPath);
    }
    return Done{};
  }

  Result<Done> MakeFolder(const std::string& aPath) override
  {
    std::error_code error;
    std::filesystem::create_directories(aPath, error);
    if (error) {
      return Error{ ErrorKind::IoError,
                    "create folder " + aPath + ": " + error.message() };
    }
    return SyncFolder(FolderOf(aPath));
  }

  Result<Done> LockFolder(const std::string& aPath) override
  {
    const std::lock_guard lock(mutex_);
    if (locks_.contains(aPath)) {
      return Done{};
    }
    const auto path = aPath + "/lock";
    auto file = std::make_unique<Descriptor>(path, O_WRONLY | O_CREAT);
    if (!file->IsOpen()) {
      return SystemError("open", path);
    }
    if (::flock(file->Number(), LOCK_EX | LOCK_NB) != 0) {
      return errno == EWOULDBLOCK
               ? Error{ ErrorKind::IoError,
                        aPath + " is in use by another process" }
               : SystemError("lock", path);
    }
    locks_.emplace(aPath, std::move(file));
    return Done{};
  }

private:
  /// Closes the file kept open for appends if it is the one at aPath, which is
  /// about to be replaced.
  void CloseAppendFile(const std::string& aPath)
  {
    const std::lock_guard lock(mutex_);
    if (appendPath_ == aPath) {
      appendFile_.Close();
      appendPath_.clear();
    }
  }

  std::mutex mutex_;
  /// The file of the last append is kept open, as each save appends to the log.
  std::string appendPath_;
  Descriptor appendFile_;
  /// Lock files by folder. The operating system releases the locks when the
  /// process ends, also after a crash.
  std::map<std::string, std::unique_ptr<Descriptor>> locks_;
};

} // namespace

FileSystem&
OsFileSystem()
{
  static PosixFileSystem kFiles;
  return kFiles;
}

} // namespace acaciahill
