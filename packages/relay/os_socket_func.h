#pragma once

#include "kernel/time_type.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace acaciahill {

/// Outcome of a non-blocking read or write.
enum class IoStatus : std::uint8_t
{
  Transferred, ///< Some bytes were read or written.
  WouldBlock,  ///< Nothing can be read or written now.
  End,         ///< The peer has closed its side (reads only).
  Failed,
};

struct IoResult
{
  IoStatus status_ = IoStatus::Failed;
  std::size_t size_ = 0;

  bool operator==(const IoResult&) const = default;
};

/// Events to wait for on a socket; after the wait, those that occurred.
struct SocketInterest
{
  int fd_ = -1;
  bool read_ = false;
  bool write_ = false;
  /// The peer has closed its side; reported even while bytes are unread.
  bool hangup_ = false;

  bool operator==(const SocketInterest&) const = default;
};

/// Appends up to 16 KB to the buffer without blocking.
IoResult
ReadSome(int aFd, std::string& aBuffer);

/// Writes as much of head and body as the socket accepts, starting aSkip bytes
/// into their concatenation. Does not block and raises no SIGPIPE.
IoResult
WriteSome(int aFd,
          std::string_view aHead,
          std::string_view aBody,
          std::size_t aSkip);

/// Waits until an event occurs on one of the sockets. Clears the flags of
/// events that did not occur; an error on a socket keeps all of its flags.
/// Entries with fd -1 are ignored. Returns false on a timeout.
bool
WaitForSockets(SocketInterest* aInterests, std::size_t aCount, Millis aTimeout);

/// True when the peer has closed its side or the connection has failed.
bool
IsHungUp(int aFd);

/// True when a read would return something: bytes, the end or an error.
bool
IsReadable(int aFd);

/// Sets TCP_NODELAY, and TCP_USER_TIMEOUT, after which unacknowledged bytes end
/// the connection.
void
SetTcpOptions(int aFd, Millis aUserTimeout);

/// An event that stays signalled to all waiters once it is raised.
class StickyEvent
{
public:
  StickyEvent();
  StickyEvent(const StickyEvent&) = delete;
  StickyEvent& operator=(const StickyEvent&) = delete;
  ~StickyEvent();

  void Raise();
  bool IsRaised() const;
  /// Readable once the event is raised.
  int Fd() const { return fd_; }

private:
  int fd_;
};

} // namespace acaciahill
