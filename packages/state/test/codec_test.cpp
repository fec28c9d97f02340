#include "state/json_func.h"
#include "state/test/fleet_driver.h"

#include <catch2/catch.hpp>

#include <random>

using namespace acaciahill;
using nlohmann::json;

namespace {

std::vector<Command>
AllCommands()
{
  PoolRow row = test::MakeRow("rota", 10, 8, 2);
  row.drainAction_ = DrainAction::Stop;
  row.spare_ = true;
  JobRecord job{ "j", "rota", "team", 3, 500, 64, 1, true, false };
  return {
    SetCell{ "rota", "size", "12", 3 },
    ApplyTable{ { row, test::MakeRow("gifts", 3) }, 7 },
    AnnounceVm{ test::MakeIdentity("vm-1", 4) },
    BeginMove{ "vm-1", "gifts", "load", { "vm-2", "vm-3" } },
    CompleteMove{ "vm-1", 9 },
    AbortMove{ "vm-1", 9, "load fell" },
    MarkVmLost{ "vm-1", 4 },
    RecoverVm{ "vm-1", 4 },
    RemoveVm{ "vm-1" },
    StartWave{ "w1", { "rota" }, 2 },
    SetWavePhase{ "w1", WavePhase::Cancelled, "too slow" },
    GrantPermit{ "w1", "vm-1", "p1", { "vm-2" } },
    ConfirmStop{ "p1", 5, {} },
    RevokePermit{ "p1", "burst" },
    BeginClaim{ "rota/c/k", 0xFFFFFFFFFFFFFFFFULL, "n1", "a1" },
    EndClaim{ "k",
              "a1",
              ClaimEnd::Completed,
              200,
              "text/plain",
              std::string({ '\xFF', '\0', 'z' }),
              true },
    RegisterNode{ { "n1", "z1", "127.0.0.1:1", "127.0.0.1:2", true } },
    RemoveNode{ "n1" },
    PutJob{ job },
    CancelJob{ "j" },
    SetQuota{ { "team", 1000, 2000 } },
    PlaceTask{ "j/0", "vm-1", 5000 },
    UpdateTask{ "j/0", 2, TaskPhase::Throttled, true, "slow", 100 },
    ChangeWorkload{ EncodeBatch({ 5, { JobCancelled{ 3 } } }) },
  };
}

Claim
MakeClaim()
{
  return {
    "k", 5, "n1", "a1", ClaimPhase::Completed, 201, "t", "body", true, 99
  };
}

} // namespace

// Guards against a field that the writer or the reader omits.
TEST_CASE("every command survives JSON, text and CBOR")
{
  const auto commands = AllCommands();
  REQUIRE(commands.size() == std::variant_size_v<Command>);
  for (std::size_t i = 0; i < commands.size(); ++i) {
    const auto& command = commands[i];
    INFO(CommandName(command));
    CHECK(command.index() == i);
    const auto object = CommandToJson(command);
    CHECK(object.at("type") == CommandName(command));
    CHECK(CommandFromJson(object) == Result<Command>(command));
    CHECK_NOTHROW(object.dump());
    const CommandEnvelope envelope{ "r1", 17, command };
    CHECK(DecodeEnvelope(EncodeEnvelope(envelope)) ==
          Result<CommandEnvelope>(envelope));
  }
}

// Guards against changed names in JSON, which clients and other nodes use.
TEST_CASE("commands have the agreed form in JSON")
{
  CHECK(CommandToJson(SetCell{ "rota", "size", "12", 3 }) ==
        json::parse(R"({"type": "set_cell", "pool": "rota", "column": "size",
                        "value": "12", "if_version": 3})"));
  CHECK(CommandToJson(SetWavePhase{ "w1", WavePhase::Held, "" }) ==
        json::parse(R"({"type": "set_wave_phase", "wave": "w1",
                        "phase": "held", "reason": ""})"));
  CHECK(RowToJson(test::MakeSpareRow("s", 8)).at("spare") == true);
  CHECK(RowToJson(test::MakeRow("s", 8)).at("drain_action") == "wait");
}

// Guards against misspelled fields that are read as defaults.
TEST_CASE("malformed commands are refused with the field's name")
{
  struct Row
  {
    const char* json_;
    const char* named_;
  };
  const auto row = GENERATE(
    Row{ "[]", "object" },
    Row{ "{}", "type" },
    Row{ R"({"type": 3})", "type" },
    Row{ R"({"type": "set_cel"})", "set_cel" },
    Row{ R"({"type": "set_cell", "colum": "x"})", "colum" },
    Row{ R"({"type": "set_cell", "pool": 3})", "pool" },
    Row{ R"({"type": "set_cell", "if_version": -1})", "if_version" },
    Row{ R"({"type": "set_cell", "if_version": 1.5})", "if_version" },
    Row{ R"({"type": "set_cell", "if_version": "1"})", "if_version" },
    Row{ R"({"type": "apply_table", "rows": {}})", "rows" },
    Row{ R"({"type": "apply_table", "rows": [{"pool": "a"}, 3]})", "rows[1]" },
    Row{ R"({"type": "apply_table", "rows": [{"size": true}]})",
         "rows[0].size" },
    Row{ R"({"type": "apply_table", "rows": [{"size": 9e99}]})",
         "rows[0].size" },
    Row{ R"({"type": "apply_table", "rows": [{"size": 9000000000000000000}]})",
         "rows[0].size" },
    Row{ R"({"type": "apply_table", "rows": [{"spare": "yes"}]})",
         "rows[0].spare" },
    Row{ R"({"type": "apply_table", "rows": [{"drain_action": "halt"}]})",
         "wait, stop" },
    Row{ R"({"type": "register_node", "node": {"idd": "n"}})", "node.idd" },
    Row{ R"({"type": "begin_move", "unavailable": ["a", null]})",
         "unavailable[1]" },
    Row{ R"({"type": "set_wave_phase", "phase": "done"})", "phase" });
  INFO(row.json_);
  const auto read = CommandFromJson(json::parse(row.json_));
  REQUIRE_FALSE(IsOk(read));
  CHECK(ErrorOf(read).kind_ == ErrorKind::BadRequest);
  CHECK_THAT(ErrorOf(read).detail_, Catch::Contains(row.named_));
}

TEST_CASE("missing fields take their defaults")
{
  const auto read = CommandFromJson(
    json::parse(R"({"type": "apply_table", "rows": [{"pool": "a"}]})"));
  PoolRow row;
  row.pool_ = "a";
  CHECK(read == Result<Command>(ApplyTable{ { row }, 0 }));
}

TEST_CASE("results survive JSON and CBOR")
{
  CommandResult refused;
  refused.error_ = Error{ ErrorKind::ClaimRunning, "held" };
  refused.claim_ = MakeClaim();
  const auto result = GENERATE_COPY(
    CommandResult{}, CommandResult{ {}, 3, 9, "done", {} }, refused);
  CHECK(ResultFromJson(ResultToJson(result)) == Result<CommandResult>(result));
  CHECK(DecodeResult(EncodeResult(result)) == Result<CommandResult>(result));
  CHECK(ResultToJson(result).contains("error") == result.error_.has_value());
}

// Guards against an unknown error kind that is read as another one.
TEST_CASE("an unknown kind of error is refused")
{
  const auto read =
    ResultFromJson(json::parse(R"({"error": {"kind": "no_such"}})"));
  REQUIRE_FALSE(IsOk(read));
  CHECK_THAT(ErrorOf(read).detail_, Catch::Contains("error.kind"));
}

namespace {

// Feeds bytes to each decoder; only crashes and exceptions are failures.
void
DecodeAll(const std::string& aBytes)
{
  CHECK_NOTHROW(DecodeEnvelope(aBytes));
  CHECK_NOTHROW(DecodeResult(aBytes));
  CHECK_NOTHROW(Fleet::DecodeSnapshot(aBytes));
}

std::string
Mutate(std::string aBytes, std::mt19937& aRandom)
{
  const auto changes = 1 + aRandom() % 4;
  for (std::size_t i = 0; i < changes && !aBytes.empty(); ++i) {
    const auto at = aRandom() % aBytes.size();
    switch (aRandom() % 3) {
      case 0:
        aBytes[at] = static_cast<char>(aRandom() & 0xFFU);
        break;
      case 1:
        aBytes.resize(at);
        break;
      default:
        aBytes.insert(at, 1, static_cast<char>(aRandom() & 0xFFU));
    }
  }
  return aBytes;
}

} // namespace

// Guards against one damaged or hostile message that crashes every node.
TEST_CASE("hostile bytes are refused without a crash")
{
  const auto form =
    GENERATE(std::string(),
             std::string("\xFF"),
             // Lists and objects nested a million deep.
             std::string(1'000'000, '\x81'),
             std::string(1'000'000, '\x9F'),
             // A list, an object, a text and bytes with a length of 2^64 - 1.
             std::string("\x9B\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF", 9),
             std::string("\xBB\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF", 9),
             std::string("\x7B\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF", 9),
             std::string("\x5B\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF", 9),
             // A number, a tag, an object with a number as its key.
             std::string("\x01"),
             std::string("\xC0\x01"),
             std::string("\xA1\x01\x01"));
  DecodeAll(form);
  const auto envelope = DecodeEnvelope(form);
  REQUIRE_FALSE(IsOk(envelope));
  CHECK(ErrorOf(envelope).kind_ == ErrorKind::BadRequest);
  REQUIRE_FALSE(IsOk(Fleet::DecodeSnapshot(form)));
  CHECK(ErrorOf(Fleet::DecodeSnapshot(form)).kind_ ==
        ErrorKind::CorruptSnapshot);
}

TEST_CASE("mutated commands, results and snapshots never throw")
{
  std::mt19937 random(20261204);
  test::FleetDriver driver;
  for (const auto& command : AllCommands()) {
    driver.Apply(command);
  }
  CommandResult result;
  result.error_ = Error{ ErrorKind::ClaimRunning, "held" };
  result.claim_ = MakeClaim();
  const auto snapshot = driver.fleet_.EncodeSnapshot();
  for (int i = 0; i < 300; ++i) {
    DecodeAll(Mutate(snapshot, random));
    DecodeAll(Mutate(EncodeResult(result), random));
    for (const auto& command : AllCommands()) {
      DecodeAll(Mutate(EncodeEnvelope({ "r", 1, command }), random));
    }
  }
}

// Guards against a log entry that can be encoded but not decoded.
TEST_CASE("text that is not UTF-8 survives and never breaks a dump")
{
  const Command command = RemoveVm{ "vm-\xC3\x28" };
  CHECK(CommandFromJson(CommandToJson(command)) == Result<Command>(command));
  CHECK_NOTHROW(CommandToJson(command).dump());
  test::FleetDriver driver;
  const auto result = driver.Apply(command);
  REQUIRE(result.error_);
  CHECK_NOTHROW(ResultToJson(result).dump());
}
