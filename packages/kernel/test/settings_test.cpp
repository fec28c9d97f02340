#include "kernel/settings_base.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <unistd.h>

using namespace acaciahill;

namespace {

const std::vector<SettingRule> kRules = {
  { "node", "id", SettingType::Text, true, "", 0, 0, "", "name of this node" },
  { "node", "role", SettingType::Choice, false, "entry", 0, 0, "entry|voter" },
  { "listen", "peers", SettingType::Address, true },
  { "cluster", "voters", SettingType::VoterList, true },
  { "timing", "tick_ms", SettingType::Integer, false, "100", 10, 1000 },
  { "platform", "url", SettingType::HttpUrl, false, "" },
  { "platform", "rate", SettingType::Number, false, "64", 1, 1000 },
};

const std::string kGood = "; a comment\n[node]\nid = n1\n[listen]\n"
                          "peers = 127.0.0.1:7001\n[cluster]\n"
                          "voters = n1@127.0.0.1:7001\n";

Result<Settings>
LoadText(const std::string& aText)
{
  char path[] = "/tmp/settings_test_XXXXXX";
  const int fd = mkstemp(path);
  REQUIRE(fd >= 0);
  std::ofstream(path) << aText;
  auto result = Settings::Load(path, kRules);
  ::close(fd);
  std::remove(path);
  return result;
}

} // namespace

TEST_CASE("a sound settings file gives its values and the defaults")
{
  const auto settings = LoadText(kGood);
  REQUIRE(IsOk(settings));
  CHECK(ValueOf(settings).Text("node", "id") == "n1");
  CHECK(ValueOf(settings).Text("node", "role") == "entry");
  CHECK(ValueOf(settings).Integer("timing", "tick_ms") == 100);
  CHECK(ValueOf(settings).Number("platform", "rate") == 64);
  const auto decimal = LoadText(kGood + "[platform]\nrate = 310.5\n");
  REQUIRE(IsOk(decimal));
  CHECK(ValueOf(decimal).Number("platform", "rate") == 310.5);
}

// Guards against a process that starts despite an invalid setting. Every fault
// names the key.
TEST_CASE("a faulty settings file is refused with the name of the key")
{
  struct Row
  {
    std::string text_;
    std::string expected_;
  };
  const auto row = GENERATE(
    Row{ kGood + "[timing]\ntick_sm = 5\n", "timing.tick_sm: unknown key" },
    Row{ kGood + "[timing]\ntick_ms = fast\n", "timing.tick_ms: 'fast'" },
    Row{ kGood + "[timing]\ntick_ms = 5\n",
         "timing.tick_ms: 5 is out of range" },
    Row{ kGood + "[platform]\nurl = https://x\n", "platform.url" },
    Row{ kGood + "[platform]\nrate = fast\n", "platform.rate: 'fast'" },
    Row{ kGood + "[platform]\nrate = 0.5\n", "platform.rate: 0.5 is out of" },
    Row{ kGood + "[platform]\nrate = nan\n", "platform.rate: nan is out of" },
    Row{ "[node]\nid = n1\nid = n2\n", "duplicate key" },
    Row{ "[node]\nid = n1\nrole = king\n", "node.role: 'king'" },
    Row{ "[node]\nid n1\n", ":2: " },
    Row{ "id = n1\n", "before any [section]" },
    Row{ "[listen]\npeers = localhost:1\n", "listen.peers: 'localhost:1'" },
    Row{ "[listen]\npeers = 127.0.0.1:70000\n", "listen.peers" },
    Row{ "[cluster]\nvoters = n1\n", "cluster.voters: 'n1'" },
    Row{ "[listen]\npeers = 127.0.0.1:1\n", "node.id: missing" });
  INFO(row.text_);
  const auto settings = LoadText(row.text_);
  REQUIRE_FALSE(IsOk(settings));
  CHECK(ErrorOf(settings).kind_ == ErrorKind::BadSetting);
  CHECK_THAT(ErrorOf(settings).detail_, Catch::Contains(row.expected_));
}

TEST_CASE("a missing settings file is an error")
{
  const auto settings = Settings::Load("/nonexistent/acaciahill.ini", kRules);
  REQUIRE_FALSE(IsOk(settings));
  CHECK_THAT(ErrorOf(settings).detail_, Catch::Contains("cannot be read"));
}
