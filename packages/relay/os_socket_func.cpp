#include "relay/os_socket_func.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

namespace acaciahill {

namespace {

constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;
constexpr std::size_t kMaxInterests = 4;

IoResult
ResultFromErrno()
{
  const bool isAgain =
    errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  return { isAgain ? IoStatus::WouldBlock : IoStatus::Failed, 0 };
}

bool
PollOnce(int aFd, short aEvents)
{
  pollfd one{ aFd, aEvents, 0 };
  return poll(&one, 1, 0) > 0;
}

} // namespace

IoResult
ReadSome(int aFd, std::string& aBuffer)
{
  const auto before = aBuffer.size();
  aBuffer.resize(before + kReadBytes);
  const auto got = recv(aFd, aBuffer.data() + before, kReadBytes, MSG_DONTWAIT);
  const auto result =
    got > 0 ? IoResult{ IoStatus::Transferred, static_cast<std::size_t>(got) }
    : got == 0 ? IoResult{ IoStatus::End, 0 }
               : ResultFromErrno();
  aBuffer.resize(before + result.size_);
  return result;
}

IoResult
WriteSome(int aFd,
          std::string_view aHead,
          std::string_view aBody,
          std::size_t aSkip)
{
  std::array<iovec, 2> parts{};
  std::size_t count = 0;
  for (auto part : { aHead, aBody }) {
    const auto skipped = std::min(aSkip, part.size());
    aSkip -= skipped;
    part.remove_prefix(skipped);
    if (!part.empty()) {
      // sendmsg only reads through this pointer.
      parts[count++] = { const_cast<char*>(part.data()), part.size() };
    }
  }
  msghdr message{};
  message.msg_iov = parts.data();
  message.msg_iovlen = count;
  const auto sent = sendmsg(aFd, &message, MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent < 0) {
    return ResultFromErrno();
  }
  return { IoStatus::Transferred, static_cast<std::size_t>(sent) };
}

bool
WaitForSockets(SocketInterest* aInterests, std::size_t aCount, Millis aTimeout)
{
  std::array<pollfd, kMaxInterests> fds{};
  const auto count = std::min(aCount, kMaxInterests);
  for (std::size_t i = 0; i < count; ++i) {
    const auto& wanted = aInterests[i];
    const int events = (wanted.read_ ? POLLIN : 0) |
                       (wanted.write_ ? POLLOUT : 0) |
                       (wanted.hangup_ ? POLLRDHUP : 0);
    fds[i] = { wanted.fd_, static_cast<short>(events), 0 };
  }
  const auto limit = std::clamp<std::int64_t>(aTimeout.count(), 0, 3600000);
  const int ready =
    poll(fds.data(), static_cast<nfds_t>(count), static_cast<int>(limit));
  for (std::size_t i = 0; i < count; ++i) {
    auto& seen = aInterests[i];
    const int events = ready > 0 ? fds[i].revents : 0;
    const bool failed = (events & (POLLERR | POLLHUP | POLLNVAL)) != 0;
    seen.read_ = seen.read_ && ((events & POLLIN) != 0 || failed);
    seen.write_ = seen.write_ && ((events & POLLOUT) != 0 || failed);
    seen.hangup_ = seen.hangup_ && ((events & POLLRDHUP) != 0 || failed);
  }
  return ready > 0;
}

bool
IsHungUp(int aFd)
{
  return PollOnce(aFd, POLLRDHUP);
}

bool
IsReadable(int aFd)
{
  return PollOnce(aFd, POLLIN | POLLRDHUP);
}

void
SetTcpOptions(int aFd, Millis aUserTimeout)
{
  const int on = 1;
  setsockopt(aFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const auto timeout = static_cast<unsigned int>(aUserTimeout.count());
  setsockopt(aFd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

StickyEvent::StickyEvent()
  : fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
  if (fd_ < 0) {
    throw std::runtime_error("eventfd failed");
  }
}

StickyEvent::~StickyEvent()
{
  close(fd_);
}

void
StickyEvent::Raise()
{
  // The counter cannot overflow here, and it is never read.
  eventfd_write(fd_, 1);
}

bool
StickyEvent::IsRaised() const
{
  return IsReadable(fd_);
}

} // namespace acaciahill
