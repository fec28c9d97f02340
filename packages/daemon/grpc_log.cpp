#include "daemon/grpc_log_func.h"

#include "kernel/log_func.h"

#include <grpc/support/log.h>

namespace acaciahill {

namespace {

LogLevel
LevelOf(gpr_log_severity aSeverity)
{
  switch (aSeverity) {
    case GPR_LOG_SEVERITY_DEBUG:
      return LogLevel::Debug;
    case GPR_LOG_SEVERITY_INFO:
      return LogLevel::Info;
    case GPR_LOG_SEVERITY_ERROR:
      break;
  }
  // An error of one call or connection; callers log what they make of it.
  return LogLevel::Warning;
}

void
LogMessage(gpr_log_func_args* aMessage)
{
  Log(LevelOf(aMessage->severity),
      "message of gRPC",
      { { "text", aMessage->message },
        { "file", aMessage->file },
        { "line", aMessage->line } });
}

} // namespace

void
LogGrpcMessages()
{
  gpr_set_log_function(LogMessage);
}

} // namespace acaciahill
