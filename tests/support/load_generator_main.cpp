#include "support/load_generator.h"

#include <cxxopts.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <vector>

namespace {

using namespace acaciahill::testing;
using Words = std::vector<std::string>;

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("load_generator", "Open-loop load on entry nodes");
  const auto text = [](const char* aDefault) {
    return cxxopts::value<std::string>()->default_value(aDefault);
  };
  options.add_options()(
    "entries", "callers' ports, comma separated", cxxopts::value<Words>())(
    "pools", "pools, comma separated", cxxopts::value<Words>())(
    "rate", "requests per second", text("50"))(
    "seconds", "length of the load", text("5"))(
    "callers", "number of callers", text("4"))("seed", "seed", text("1"))(
    "post-percent", "share of POST requests", text("30"))(
    "keyed-percent", "share of POST requests with a key", text("50"))(
    "keyed-sendings", "sendings of a keyed request", text("3"))(
    "deadline-ms", "deadline of each request", text("3000"))(
    "body-bytes", "size of a POST body", text("100"))(
    "burst-ms", "turn of each pool at five times its rate", text("0"))(
    "threads", "requests in flight at most", text("128"))(
    "history", "file of JSON lines", text(""))("help", "print this help");
  return options;
}

LoadSettings
ReadSettings(const cxxopts::ParseResult& aOptions)
{
  const auto text = [&](const char* aName) {
    return aOptions[aName].as<std::string>();
  };
  LoadSettings settings;
  settings.entries_ = aOptions["entries"].as<Words>();
  settings.pools_ = aOptions["pools"].as<Words>();
  settings.rate_ = std::stod(text("rate"));
  settings.duration_ = acaciahill::Millis(
    static_cast<std::int64_t>(std::stod(text("seconds")) * 1000));
  settings.callers_ = std::stoi(text("callers"));
  settings.seed_ = std::stoull(text("seed"));
  settings.postPercent_ = std::stoi(text("post-percent"));
  settings.keyedPercent_ = std::stoi(text("keyed-percent"));
  settings.keyedSendings_ = std::stoi(text("keyed-sendings"));
  settings.deadline_ = acaciahill::Millis(std::stoll(text("deadline-ms")));
  settings.bodyBytes_ = std::stoul(text("body-bytes"));
  settings.burst_ = acaciahill::Millis(std::stoll(text("burst-ms")));
  settings.threads_ = std::stoi(text("threads"));
  return settings;
}

} // namespace

int
main(int aCount, char** aWords)
{
  try {
    auto options = MakeOptions();
    const auto parsed = options.parse(aCount, aWords);
    if (parsed.count("help") != 0 || parsed.count("entries") == 0 ||
        parsed.count("pools") == 0) {
      std::cout << options.help();
      return parsed.count("help") != 0 ? 0 : 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    HistoryRecorder recorder(parsed["history"].as<std::string>());
    std::cout << ToJson(RunLoad(ReadSettings(parsed), recorder)).dump()
              << std::endl;
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "load_generator: " << error.what() << '\n';
    return 2;
  }
}
