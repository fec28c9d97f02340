#pragma once

#include <atomic>
#include <cstdint>

namespace acaciahill {

/// Limit on the bytes of messages buffered over all connections. Requests may
/// use only half of it, which leaves room for the answers to those sent.
/// Thread-safe.
class BufferBudget
{
public:
  explicit BufferBudget(std::int64_t aLimit)
    : limit_(aLimit)
  {
  }

  /// Reserves bytes; false, and nothing reserved, if that exceeds the limit.
  bool TryReserve(std::int64_t aBytes, bool aForRequest)
  {
    const auto limit = aForRequest ? limit_ / 2 : limit_;
    auto used = used_.load();
    do {
      if (used + aBytes > limit) {
        return false;
      }
    } while (!used_.compare_exchange_weak(used, used + aBytes));
    return true;
  }

  void Release(std::int64_t aBytes) { used_ -= aBytes; }
  std::int64_t Used() const { return used_; }

private:
  std::int64_t limit_;
  std::atomic<std::int64_t> used_{ 0 };
};

/// The bytes that one message has reserved; released on destruction.
class BufferLease
{
public:
  BufferLease(BufferBudget& aBudget, bool aForRequest)
    : budget_(aBudget)
    , forRequest_(aForRequest)
  {
  }
  BufferLease(const BufferLease&) = delete;
  BufferLease& operator=(const BufferLease&) = delete;
  ~BufferLease() { Release(); }

  bool Grow(std::size_t aBytes)
  {
    const auto bytes = static_cast<std::int64_t>(aBytes);
    if (!budget_.TryReserve(bytes, forRequest_)) {
      return false;
    }
    held_ += bytes;
    return true;
  }

  /// Changes what the message holds to that many bytes; false, and nothing
  /// changed, if that exceeds the limit.
  bool Resize(std::size_t aBytes)
  {
    const auto bytes = static_cast<std::int64_t>(aBytes);
    if (bytes > held_) {
      return Grow(static_cast<std::size_t>(bytes - held_));
    }
    budget_.Release(held_ - bytes);
    held_ = bytes;
    return true;
  }

  void Release()
  {
    budget_.Release(held_);
    held_ = 0;
  }

private:
  BufferBudget& budget_;
  bool forRequest_;
  std::int64_t held_ = 0;
};

} // namespace acaciahill
