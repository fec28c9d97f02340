#include "support/fake_target.h"

#include <cxxopts.hpp>

#include <unistd.h>

#include <chrono>
#include <csignal>
#include <exception>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

using namespace acaciahill::testing;

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("fake_target", "Stand-in for a users' server");
  const FakeTargetSettings base;
  const auto text = [](const std::string& aDefault) {
    return cxxopts::value<std::string>()->default_value(aDefault);
  };
  options.add_options()("id", "VM id", text(base.id_))(
    "zone", "availability zone", text(base.zone_))(
    "rack", "rack", text(base.rack_))(
    "listen", "address for requests", text(base.listen_))(
    "advertise", "address that it announces; default: its own", text(""))(
    "announce", "announce ports, comma separated", text(""))(
    "journal", "file of executed requests", text(""))(
    "incarnation", "first incarnation", text("1"))(
    "cores", "processors", text("16"))(
    "memory-mb", "memory in MB", text("32768"))("slots", "slots", text("8"))(
    "connections", "connections", text("64"))(
    "service-ms", "time that a request takes", text("5"))(
    "seed", "seed for the choice of announce ports", text("1"))(
    "echo-request-id", "answers name their request")("help", "print this help");
  return options;
}

std::vector<std::string>
SplitList(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream in(aText);
  std::string part;
  while (std::getline(in, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

FakeTargetSettings
ReadSettings(const cxxopts::ParseResult& aOptions)
{
  const auto text = [&](const char* aName) {
    return aOptions[aName].as<std::string>();
  };
  const auto number = [&](const char* aName) {
    return static_cast<std::int64_t>(std::stoll(text(aName)));
  };
  FakeTargetSettings settings;
  settings.id_ = text("id");
  settings.zone_ = text("zone");
  settings.rack_ = text("rack");
  settings.listen_ = text("listen");
  settings.advertise_ = text("advertise");
  settings.announce_ = SplitList(text("announce"));
  settings.journal_ = text("journal");
  settings.incarnation_ = std::stoull(text("incarnation"));
  settings.cores_ = number("cores");
  settings.memoryMb_ = number("memory-mb");
  settings.slots_ = number("slots");
  settings.connections_ = number("connections");
  settings.service_ = acaciahill::Millis(number("service-ms"));
  settings.seed_ = std::stoull(text("seed"));
  settings.echoesRequestId_ = aOptions.count("echo-request-id") > 0;
  return settings;
}

extern "C" void
ExitNow(int)
{
  _exit(0);
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
    std::signal(SIGTERM, ExitNow);
    std::signal(SIGPIPE, SIG_IGN);
    const FakeTarget target(ReadSettings(parsed));
    std::cout << "listening " << target.Address() << std::endl;
    for (;;) {
      std::this_thread::sleep_for(std::chrono::hours(1));
    }
  } catch (const std::exception& error) {
    std::cerr << "fake_target: " << error.what() << '\n';
    return 2;
  }
}
