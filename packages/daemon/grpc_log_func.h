#pragma once

namespace acaciahill {

/// Lets gRPC's own messages go into the log. By default gRPC writes them to
/// standard error on the thread that serves a call. For the whole process.
void
LogGrpcMessages();

} // namespace acaciahill
