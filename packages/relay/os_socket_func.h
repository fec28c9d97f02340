#pragma once

#include "kernel/time_type.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace acaciahill {

/// Outcome of a read or write that does not block.
enum class IoStatus : std::uint8_t
{
  Transferred, ///< Some bytes were read or written.
  WouldBlock,  ///< None now.
  End,         ///< The peer has closed its side (reads only).
  Failed,
};

struct IoResult
{
  IoStatus status_ = IoStatus::Failed;
  std::size_t size_ = 0;

  bool operator==(const IoResult&) const = default;
};

/// What to wait for on a socket, and what was seen.
struct SocketInterest
{
  int fd_ = -1;
  bool read_ = false;
  bool write_ = false;
  /// The peer has closed its side; seen also while bytes before it are unread.
  bool hangup_ = false;

  bool operator==(const SocketInterest&) const = default;
};

/// Appends up to 16 KB to the buffer without blocking.
IoResult
ReadSome(int aFd, std::string& aBuffer);

/// Writes what the socket takes of the head and the body after it, leaving out
/// the first aSkip bytes of both together. Does not block and raises no signal.
IoResult
WriteSome(int aFd,
          std::string_view aHead,
          std::string_view aBody,
          std::size_t aSkip);

/// Waits until one interest is met or the time is over. Sets the flags of both
/// to what was seen; errors show as all wanted flags. An interest with fd -1 is
/// left out. Returns false when the time is over.
bool
WaitForSockets(SocketInterest* aInterests, std::size_t aCount, Millis aTimeout);

/// True when the peer has closed its side or the connection has failed.
bool
IsHungUp(int aFd);

/// True when a read would return something: bytes, the end or an error.
bool
IsReadable(int aFd);

/// Sets TCP_NODELAY and the time after which unacknowledged bytes end the
/// connection.
void
SetTcpOptions(int aFd, Millis aUserTimeout);

/// An event that stays visible to every waiter once it is raised.
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
