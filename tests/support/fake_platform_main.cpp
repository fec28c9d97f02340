#include "support/fake_platform.h"

#include <cxxopts.hpp>

#include <chrono>
#include <csignal>
#include <exception>
#include <iostream>
#include <stdexcept>
#include <thread>
#include <vector>

namespace {

using namespace acaciahill::testing;

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("fake_platform", "Stand-in for the platform");
  const auto text = [](const char* aDefault) {
    return cxxopts::value<std::string>()->default_value(aDefault);
  };
  options.add_options()("listen", "address", text("127.0.0.1:0"))(
    "vm",
    "ID=HOST:PORT of a VM's control path; may be repeated",
    cxxopts::value<std::vector<std::string>>())(
    "reboot-ms", "time for which a rebooting VM is away", text("1000"))(
    "journal", "file of stops", text(""))("help", "print this help");
  return options;
}

FakePlatformSettings
ReadSettings(const cxxopts::ParseResult& aOptions)
{
  FakePlatformSettings settings;
  settings.listen_ = aOptions["listen"].as<std::string>();
  settings.journal_ = aOptions["journal"].as<std::string>();
  settings.reboot_ =
    acaciahill::Millis(std::stoll(aOptions["reboot-ms"].as<std::string>()));
  if (aOptions.count("vm") == 0) {
    return settings;
  }
  for (const auto& vm : aOptions["vm"].as<std::vector<std::string>>()) {
    const auto equals = vm.find('=');
    if (equals == std::string::npos) {
      throw std::invalid_argument("--vm needs ID=HOST:PORT, got " + vm);
    }
    settings.vms_[vm.substr(0, equals)] = vm.substr(equals + 1);
  }
  return settings;
}

} // namespace

int
main(int aCount, char** aWords)
{
  try {
    auto options = MakeOptions();
    const auto parsed = options.parse(aCount, aWords);
    if (parsed.count("help") != 0) {
      std::cout << options.help();
      return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const FakePlatform platform(ReadSettings(parsed));
    std::cout << "listening " << platform.Address() << std::endl;
    for (;;) {
      std::this_thread::sleep_for(std::chrono::hours(1));
    }
  } catch (const std::exception& error) {
    std::cerr << "fake_platform: " << error.what() << '\n';
    return 2;
  }
}
