#include "kernel/log_writer_base.h"

#include <spdlog/async_logger.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/details/thread_pool.h>
#include <spdlog/sinks/base_sink.h>

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <string_view>

namespace acaciahill {

namespace {

// About 0.4 KB each for lines of up to 250 bytes.
constexpr std::size_t kMaxWaitingLines = 4096;

/// False when the descriptor refuses the text.
bool
WriteAll(int aDescriptor, std::string_view aText)
{
  while (!aText.empty()) {
    const auto written = ::write(aDescriptor, aText.data(), aText.size());
    if (written >= 0) {
      aText.remove_prefix(static_cast<std::size_t>(written));
    } else if (errno == EAGAIN) {
      pollfd ready{ aDescriptor, POLLOUT, 0 };
      ::poll(&ready, 1, -1);
    } else if (errno != EINTR) {
      return false;
    }
  }
  return true;
}

} // namespace

/// Used by the thread of the pool alone, but for the counts.
class LogWriter::Sink
  : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  Sink(int aDescriptor,
       spdlog::details::thread_pool& aPool,
       DroppedText aDroppedText)
    : descriptor_(aDescriptor)
    , pool_(aPool)
    , droppedText_(std::move(aDroppedText))
  {
  }

  std::uint64_t CountWritten() const { return written_; }
  std::uint64_t CountRefused() const { return refused_; }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    // The lines before this one are those that were dropped.
    TellDropped();
    line_.assign(aMessage.payload.begin(), aMessage.payload.end());
    line_ += '\n';
    ++(WriteAll(descriptor_, line_) ? written_ : refused_);
  }

  void flush_() override {}

private:
  void TellDropped()
  {
    const auto dropped = pool_.overrun_counter() + refused_;
    if (dropped > toldDropped_ &&
        WriteAll(descriptor_,
                 droppedText_(dropped - toldDropped_, dropped) + '\n')) {
      toldDropped_ = dropped;
    }
  }

  const int descriptor_;
  spdlog::details::thread_pool& pool_;
  const DroppedText droppedText_;
  std::string line_;
  std::uint64_t toldDropped_ = 0;
  std::atomic<std::uint64_t> written_{ 0 };
  std::atomic<std::uint64_t> refused_{ 0 };
};

LogWriter::LogWriter(int aDescriptor, DroppedText aDroppedText)
  : pool_(std::make_shared<spdlog::details::thread_pool>(kMaxWaitingLines, 1))
  , sink_(std::make_shared<Sink>(aDescriptor, *pool_, std::move(aDroppedText)))
  , logger_(std::make_shared<spdlog::async_logger>(
      "acaciahill",
      sink_,
      pool_,
      spdlog::async_overflow_policy::overrun_oldest))
{
  // By default the logger writes its own errors to standard error.
  logger_->set_error_handler([](const std::string&) {});
}

LogWriter::~LogWriter() = default;

std::uint64_t
LogWriter::CountWaiting() const
{
  // Read first: a line is noted before it is written or dropped.
  const auto ended = sink_->CountWritten() + CountDropped();
  return noted_ - ended;
}

std::uint64_t
LogWriter::CountDropped() const
{
  return pool_->overrun_counter() + sink_->CountRefused();
}

} // namespace acaciahill
