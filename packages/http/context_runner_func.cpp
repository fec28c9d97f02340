#include "http/context_runner_func.h"

namespace acaciahill {

void
RunContext(boost::asio::io_context& aContext,
           const std::function<void(const std::exception&)>& aOnException)
{
  for (;;) {
    try {
      aContext.run();
      return;
    } catch (const std::exception& error) {
      aOnException(error);
    }
  }
}

} // namespace acaciahill
