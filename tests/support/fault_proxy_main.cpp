#include "support/fault_proxy.h"
#include "support/http_func.h"

#include <cxxopts.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <string>

namespace {

using namespace acaciahill::testing;
using nlohmann::json;

bool
HandleControl(FaultProxy& aProxy,
              HttpConnection& aConnection,
              const HttpMessage& aRequest)
{
  if (aRequest.method_ == "POST") {
    aProxy.Control(json::parse(aRequest.body_));
  }
  const json state{ { "accepted", aProxy.Accepted() },
                    { "bytes", aProxy.Bytes() },
                    { "cut", aProxy.Faults().cut_ } };
  return aConnection.Send(FormatAnswer(200, {}, state.dump()));
}

/// Takes one JSON object of switches from each line until the input ends.
void
ReadSwitches(FaultProxy& aProxy)
{
  std::string line;
  while (std::getline(std::cin, line)) {
    try {
      aProxy.Control(json::parse(line));
      std::cout << "ok" << std::endl;
    } catch (const json::exception& error) {
      std::cout << "error " << error.what() << std::endl;
    }
  }
}

} // namespace

int
main(int aCount, char** aWords)
{
  try {
    cxxopts::Options options(
      "fault_proxy", "TCP proxy with faults; reads switches from its input");
    const auto text = [](const char* aDefault) {
      return cxxopts::value<std::string>()->default_value(aDefault);
    };
    options.add_options()("listen", "address", text("127.0.0.1:0"))(
      "upstream", "address behind the proxy", text(""))(
      "control", "address of the HTTP control path", text("127.0.0.1:0"))(
      "help", "print this help");
    const auto parsed = options.parse(aCount, aWords);
    if (parsed.count("help") != 0 || parsed.count("upstream") == 0) {
      std::cout << options.help();
      return parsed.count("help") != 0 ? 0 : 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    FaultProxy proxy(parsed["listen"].as<std::string>(),
                     parsed["upstream"].as<std::string>());
    HttpServer control(
      parsed["control"].as<std::string>(),
      [&proxy](HttpConnection& aConnection, const HttpMessage& aRequest) {
        return HandleControl(proxy, aConnection, aRequest);
      });
    std::cout << "listening " << proxy.Address() << " control "
              << control.Address() << std::endl;
    ReadSwitches(proxy);
    // Without an input, as under a test, the HTTP control path remains.
    for (;;) {
      std::this_thread::sleep_for(std::chrono::hours(1));
    }
  } catch (const std::exception& error) {
    std::cerr << "fault_proxy: " << error.what() << '\n';
    return 2;
  }
}
