#pragma once

#include <boost/asio/io_context.hpp>

#include <exception>
#include <functional>

namespace acaciahill {

/// Runs the context until it is stopped or has no more work. An exception that
/// leaves a completion handler is passed to aOnException, and the remaining
/// handlers run on, so that one unexpected message does not end the process.
void
RunContext(boost::asio::io_context& aContext,
           const std::function<void(const std::exception&)>& aOnException);

} // namespace acaciahill
