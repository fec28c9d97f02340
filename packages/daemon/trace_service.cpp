#include "daemon/trace_service_base.h"

namespace acaciahill {

namespace {

// Maximum number of spans that are queued for writing.
constexpr std::size_t kMaxQueuedSpans = 20000;

} // namespace

TraceService::TraceService(std::string aFile, std::string aNode)
  : path_(std::move(aFile))
  , node_(std::move(aNode))
{
}

TraceService::~TraceService()
{
  Stop();
}

Result<Done>
TraceService::Start()
{
  if (path_.empty()) {
    return Done{};
  }
  file_.open(path_, std::ios::app);
  if (!file_) {
    return Error{ ErrorKind::IoError, "cannot open the trace file " + path_ };
  }
  thread_ = std::thread([this] { Run(); });
  return Done{};
}

void
TraceService::Stop()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  ready_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void
TraceService::Write(const Span& aSpan)
{
  if (path_.empty()) {
    return;
  }
  const std::lock_guard lock(mutex_);
  if (spans_.size() < kMaxQueuedSpans) {
    spans_.push_back(aSpan);
    ready_.notify_one();
  }
}

void
TraceService::Run()
{
  while (true) {
    std::vector<Span> spans;
    bool isLast = false;
    {
      std::unique_lock lock(mutex_);
      ready_.wait(lock, [this] { return stopping_ || !spans_.empty(); });
      spans.swap(spans_);
      isLast = stopping_;
    }
    for (const auto& span : spans) {
      file_ << SpanToJsonLine(span, node_) << '\n';
    }
    file_.flush();
    if (isLast) {
      return;
    }
  }
}

} // namespace acaciahill
