#pragma once

#include "kernel/service_registry_base.h"
#include "kernel/trace_base.h"

#include <condition_variable>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace acaciahill {

/// Name under which the service is registered.
inline constexpr const char* kTraceServiceName = "trace";

/// Writes spans as JSON lines to a file on a thread of its own. Without a file
/// all spans are dropped; when the queue is full as the disk is too slow, new
/// spans are dropped.
class TraceService
  : public Service
  , public TraceSink
{
public:
  TraceService(std::string aFile, std::string aNode);
  ~TraceService() override;

  Result<Done> Start() override;
  void Stop() override;
  void Write(const Span& aSpan) override;

private:
  void Run();

  const std::string path_;
  const std::string node_;
  std::ofstream file_;
  std::mutex mutex_;
  std::condition_variable ready_;
  std::vector<Span> spans_;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace acaciahill
