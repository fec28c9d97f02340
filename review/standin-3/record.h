#pragma once

#include "net.h"

#include <cstdio>
#include <fstream>

namespace review {

/// What was sent, answered and run, one line each, with the time since the
/// start in seconds.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file_(aPath, std::ios::trunc)
    , startedAt_(NowMs())
  {
  }

  void Line(const std::string& aText)
  {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(
      time, sizeof time, "%9.3f  ", (NowMs() - startedAt_) / 1000.0);
    file_ << time << aText << '\n' << std::flush;
  }

private:
  std::mutex mutex_;
  std::ofstream file_;
  std::int64_t startedAt_;
};

} // namespace review
