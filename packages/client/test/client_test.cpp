#include "client/client_func.h"

#include "client/table/client_command_table.h"
#include "kernel/error_func.h"
#include "state/json_func.h"
#include "state/table_func.h"
#include "support/http_func.h"
#include "support/process_harness.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <mutex>
#include <set>
#include <sstream>

using namespace acaciahill;
using acaciahill::testing::FormatAnswer;
using acaciahill::testing::FreeAddress;
using acaciahill::testing::HttpConnection;
using acaciahill::testing::HttpMessage;
using acaciahill::testing::HttpServer;
using acaciahill::testing::TemporaryFolder;
using nlohmann::json;

namespace {

PoolTable
MakeTable(std::uint64_t aVersion = 12)
{
  PoolTable table;
  table.version_ = aVersion;
  PoolRow rota;
  rota.pool_ = "rota";
  rota.weight_ = 100;
  rota.size_ = 10;
  PoolRow spare;
  spare.pool_ = "spare";
  spare.spare_ = true;
  table.rows_ = { { "rota", rota }, { "spare", spare } };
  return table;
}

/// The admin port of a node, with answers that a test can replace.
class StubNode
{
public:
  using Answer = std::function<std::string(const HttpMessage&)>;

  StubNode()
    : server_("127.0.0.1:0",
              [this](HttpConnection& aConnection, const HttpMessage& aRequest) {
                const auto answer = Handle(aRequest);
                if (!answer.empty()) {
                  aConnection.Send(answer);
                }
                return false;
              })
  {
    SetTable(MakeTable());
    Set("POST /v1/commands",
        200,
        { { "table_version", 13 }, { "index", 57 }, { "text", "done" } });
  }

  std::string Address() const { return server_.Address(); }

  /// An empty answer closes the connection.
  void SetRaw(const std::string& aCall, Answer aAnswer)
  {
    const std::lock_guard lock(mutex_);
    answers_[aCall] = std::move(aAnswer);
  }

  void Set(const std::string& aCall, int aStatus, const json& aBody)
  {
    SetRaw(aCall, [aStatus, aBody](const HttpMessage&) {
      return FormatAnswer(aStatus, {}, aBody.dump());
    });
  }

  void SetError(const std::string& aCall,
                ErrorKind aKind,
                const std::string& aDetail = "detail")
  {
    const auto& row = AnswerOf(aKind);
    Set(aCall,
        row.httpStatus_,
        { { "error", row.name_ },
          { "outcome", OutcomeName(row.outcome_) },
          { "detail", aDetail } });
  }

  void SetTable(const PoolTable& aTable)
  {
    auto rows = json::array();
    for (const auto& [name, row] : aTable.rows_) {
      rows.push_back(RowToJson(row));
    }
    Set(
      "GET /v1/table",
      200,
      { { "version", aTable.version_ }, { "stale", false }, { "rows", rows } });
    SetRaw("GET /v1/table.csv", [aTable](const HttpMessage&) {
      return FormatAnswer(
        200,
        { { "Acaciahill-Table-Version", std::to_string(aTable.version_) } },
        TableToCsv(aTable));
    });
  }

  std::vector<json> Commands() const
  {
    const std::lock_guard lock(mutex_);
    return commands_;
  }

private:
  std::string Handle(const HttpMessage& aRequest)
  {
    const std::lock_guard lock(mutex_);
    if (aRequest.method_ == "POST") {
      commands_.push_back(json::parse(aRequest.body_));
    }
    const auto found = answers_.find(aRequest.method_ + " " + aRequest.path_);
    return found == answers_.end() ? FormatAnswer(404, {}, "not found")
                                   : found->second(aRequest);
  }

  mutable std::mutex mutex_;
  std::map<std::string, Answer> answers_;
  std::vector<json> commands_;
  HttpServer server_;
};

struct ClientRun
{
  int exitCode_ = 0;
  std::string out_;
  std::string err_;
};

ClientRun
RunWith(const std::string& aAdmin, const std::vector<std::string>& aWords)
{
  std::ostringstream out;
  std::ostringstream err;
  const int code =
    RunClient(aWords, { { "ACACIAHILL_ADMIN", aAdmin } }, out, err);
  return { code, out.str(), err.str() };
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

std::string
WriteFile(const TemporaryFolder& aFolder, const std::string& aText)
{
  auto path = aFolder.Path() + "/pools.csv";
  std::ofstream(path) << aText;
  return path;
}

} // namespace

TEST_CASE("the table is printed as text, CSV and JSON")
{
  StubNode node;
  const auto text = RunWith(node.Address(), { "table" });
  CHECK(text.exitCode_ == 0);
  CHECK(Contains(text.out_, "pool   weight  size"));
  CHECK(Contains(text.out_, "rota      100    10"));
  CHECK(Contains(text.out_, "version 12\n"));

  const auto csv = RunWith(node.Address(), { "table", "--csv" });
  CHECK(csv.out_ == "# version: 12\n" + TableToCsv(MakeTable()));
  const auto printed = RunWith(node.Address(), { "table", "--json" });
  CHECK(json::parse(printed.out_)["version"] == 12);
}

// Guards against a change that is not bound to what its operator saw.
TEST_CASE("set names the version that was read, or the given one")
{
  StubNode node;
  const auto run = RunWith(node.Address(), { "set", "rota", "weight", "120" });
  CHECK(run.exitCode_ == 0);
  CHECK(Contains(run.out_, "done\n"));
  RunWith(node.Address(),
          { "set", "rota", "weight", "120", "--if-version", "9" });
  const auto commands = node.Commands();
  REQUIRE(commands.size() == 2);
  CHECK(commands[0]["if_version"] == 12);
  CHECK(commands[0]["column"] == "weight");
  CHECK(commands[0]["value"] == "120");
  CHECK(commands[1]["if_version"] == 9);
  CHECK(commands[0]["request_id"] != commands[1]["request_id"]);
}

TEST_CASE("the loser of a race is told what the cell holds now")
{
  StubNode node;
  node.SetError("POST /v1/commands", ErrorKind::VersionConflict);
  const auto run = RunWith(node.Address(), { "set", "rota", "weight", "120" });
  CHECK(run.exitCode_ == 3);
  CHECK(Contains(run.err_, "version 12 has rota.weight = 100"));
  CHECK(Contains(run.err_, "next: look at acaciahill table"));
}

// Guards against exit codes that scripts cannot rely on.
TEST_CASE("each error of a change gives the exit code of its row")
{
  const auto kind = GENERATE(ErrorKind::BadRequest,
                             ErrorKind::UnknownPool,
                             ErrorKind::OutOfRange,
                             ErrorKind::VersionConflict,
                             ErrorKind::InvalidState,
                             ErrorKind::BudgetExceeded,
                             ErrorKind::QuotaExceeded,
                             ErrorKind::NeverFits,
                             ErrorKind::Internal);
  StubNode node;
  node.SetError("POST /v1/commands", kind, "the detail of it");
  const auto run =
    RunWith(node.Address(), { "--timeout", "1", "vm", "remove", "vm-1" });
  INFO(run.err_);
  CHECK(run.exitCode_ == AnswerOf(kind).exitCode_);
  CHECK(Contains(run.err_, std::string(AnswerOf(kind).name_)));
  CHECK(Contains(run.err_, "the detail of it"));
  CHECK(node.Commands().size() == 1);
}

// Guards against a truncated answer that is taken for a whole one, and against
// a resend under another id, which would do the change twice.
TEST_CASE("a change without a whole answer is sent again with the same id")
{
  struct Row
  {
    const char* name_;
    std::string answer_;
  };
  const auto whole =
    FormatAnswer(200, {}, R"({"table_version":13,"index":57,"text":"done"})");
  const auto row = GENERATE_COPY(
    Row{ "closed", "" },
    Row{ "truncated", whole.substr(0, whole.size() - 3) },
    Row{ "no length",
         "HTTP/1.1 200 -\r\nConnection: close\r\n\r\n"
         R"({"table_version":13,"index":57})" },
    Row{ "chunked and cut",
         "HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n"
         "1f\r\n"
         R"({"table_version":13,"index":57})" },
    Row{ "lost proposal",
         FormatAnswer(503, {}, R"({"error":"proposal_lost"})") },
    Row{ "no leader",
         FormatAnswer(503, {}, R"({"error":"control_unreachable"})") });
  INFO(row.name_);
  StubNode broken;
  StubNode sound;
  broken.SetRaw("POST /v1/commands",
                [row](const HttpMessage&) { return row.answer_; });
  const auto run = RunWith(broken.Address() + "," + sound.Address(),
                           { "set", "rota", "weight", "120" });
  INFO(run.err_);
  CHECK(run.exitCode_ == 0);
  REQUIRE(broken.Commands().size() == 1);
  REQUIRE(sound.Commands().size() == 1);
  CHECK(broken.Commands()[0] == sound.Commands()[0]);
}

// Guards against a truncated list that is printed as the whole one.
TEST_CASE("a read passes over addresses that give no whole answer")
{
  StubNode broken;
  StubNode sound;
  const auto whole = FormatAnswer(200, {}, R"({"version":1,"rows":[]})");
  broken.SetRaw("GET /v1/table", [whole](const HttpMessage&) {
    return whole.substr(0, whole.size() - 1);
  });
  const auto dead = FreeAddress();
  const auto run =
    RunWith(dead + "," + broken.Address() + "," + sound.Address(), { "table" });
  CHECK(run.exitCode_ == 0);
  CHECK(Contains(run.out_, "version 12"));

  const auto failed = RunWith(dead + "," + broken.Address(), { "table" });
  CHECK(failed.exitCode_ == 4);
  CHECK(Contains(failed.err_, dead));
  CHECK(Contains(failed.err_, broken.Address() + ": the answer ended after"));
}

// Guards against telling an operator "not done" when that is not known.
TEST_CASE("a change that may have been done ends as unknown with its id")
{
  StubNode node;
  node.SetRaw("POST /v1/commands",
              [](const HttpMessage&) { return std::string(); });
  const auto run = RunWith(
    node.Address(),
    { "--timeout", "1", "--request-id", "abc", "vm", "remove", "vm-1" });
  CHECK(run.exitCode_ == 5);
  CHECK(Contains(run.err_, "--request-id abc"));
  CHECK(node.Commands().size() > 1);
  for (const auto& command : node.Commands()) {
    CHECK(command["request_id"] == "abc");
  }

  const auto unsent = RunWith(FreeAddress(), { "vm", "remove", "vm-1" });
  CHECK(unsent.exitCode_ == 4);
}

TEST_CASE("wait prints its progress until all nodes follow")
{
  StubNode node;
  int asked = 0;
  node.SetRaw("GET /v1/in-force?index=57", [&asked](const HttpMessage&) {
    const json body =
      ++asked < 3
        ? json{ { "on", 7 }, { "of", 8 }, { "behind", { "n3" } } }
        : json{ { "on", 8 }, { "of", 8 }, { "behind", json::array() } };
    return FormatAnswer(200, {}, body.dump());
  });
  const auto run =
    RunWith(node.Address(), { "set", "rota", "weight", "120", "--wait" });
  CHECK(run.exitCode_ == 0);
  CHECK(run.err_ == "in force on 7 of 8; waiting for n3\nin force on 8 of 8\n");
}

TEST_CASE("a wait that ends early names the nodes that are behind")
{
  StubNode node;
  node.Set("GET /v1/in-force?index=57",
           200,
           { { "on", 7 }, { "of", 8 }, { "behind", { "n3" } } });
  const auto run =
    RunWith(node.Address(),
            { "set", "rota", "weight", "120", "--wait", "--timeout", "1" });
  CHECK(run.exitCode_ == 5);
  CHECK(Contains(run.err_, "the change was accepted"));
  CHECK(Contains(run.err_, "behind: n3"));
}

TEST_CASE("apply sends the whole table with the file's version")
{
  StubNode node;
  TemporaryFolder folder;
  auto changed = MakeTable();
  changed.rows_["rota"].weight_ = 150;
  const auto path = WriteFile(folder, "# version: 12\n" + TableToCsv(changed));

  const auto dry = RunWith(node.Address(), { "apply", path, "--dry-run" });
  CHECK(dry.exitCode_ == 0);
  CHECK(Contains(dry.out_, "rota.weight: 100 -> 150\n"));
  CHECK(node.Commands().empty());

  CHECK(RunWith(node.Address(), { "apply", path }).exitCode_ == 0);
  REQUIRE(node.Commands().size() == 1);
  auto command = node.Commands()[0];
  CHECK(command["if_version"] == 12);
  CHECK(command["rows"].size() == 2);
  CHECK(command["rows"][0]["weight"] == 150);
}

// Guards against a file that silently reverts another operator's change.
TEST_CASE("apply refuses a file without a version or of an older one")
{
  StubNode node;
  TemporaryFolder folder;
  const auto csv = TableToCsv(MakeTable());
  const auto bare =
    RunWith(node.Address(), { "apply", WriteFile(folder, csv) });
  CHECK(bare.exitCode_ == 2);
  CHECK(Contains(bare.err_, "# version: N"));

  auto newer = MakeTable(14);
  newer.rows_["rota"].weight_ = 300;
  node.SetTable(newer);
  const auto stale = RunWith(
    node.Address(), { "apply", WriteFile(folder, "# version: 12\n" + csv) });
  CHECK(stale.exitCode_ == 3);
  CHECK(Contains(stale.err_, "rota.weight: 300 -> 100"));
  CHECK(Contains(stale.err_, "version 14"));
  CHECK(node.Commands().empty());
}

// Guards against line numbers that miss the first line, and against a partial
// table that is sent.
TEST_CASE("apply names the line and the value of a wrong cell")
{
  StubNode node;
  TemporaryFolder folder;
  const auto head = GENERATE(std::string("# version: 12\n"),
                             std::string("\xEF\xBB\xBF# version: 12\r\n"),
                             std::string("\"# version: 12\",,\n"));
  const auto path = WriteFile(folder, head + "pool,weight\nrota,-7\n");
  const auto run = RunWith(node.Address(), { "apply", path });
  INFO(run.err_);
  CHECK(run.exitCode_ == 2);
  CHECK(Contains(run.err_, "line 3"));
  CHECK(Contains(run.err_, "\"-7\""));
  CHECK(node.Commands().empty());
}

TEST_CASE("apply of an unchanged file changes nothing")
{
  StubNode node;
  TemporaryFolder folder;
  const auto run =
    RunWith(node.Address(),
            { "apply",
              WriteFile(folder, "# version: 12\n" + TableToCsv(MakeTable())) });
  CHECK(run.exitCode_ == 0);
  CHECK(Contains(run.out_, "no cell changed"));
  CHECK(node.Commands().empty());
}

// Guards against fields that the daemon does not know, which it refuses.
TEST_CASE("commands have the form that the daemon reads")
{
  struct Row
  {
    std::vector<std::string> words_;
    Command command_;
  };
  const auto row = GENERATE(
    Row{ { "wave", "start", "w1", "--pools", "rota,spare", "--width", "2" },
         StartWave{ "w1", { "rota", "spare" }, 2 } },
    Row{ { "wave", "pause", "w1", "--reason", "late" },
         SetWavePhase{ "w1", WavePhase::Paused, "late" } },
    Row{ { "wave", "resume", "w1" },
         SetWavePhase{ "w1", WavePhase::Running, "" } },
    Row{ { "wave", "cancel", "w1" },
         SetWavePhase{ "w1", WavePhase::Cancelled, "" } },
    Row{ { "vm", "remove", "vm-1" }, RemoveVm{ "vm-1" } },
    Row{ { "node", "remove", "n3" }, RemoveNode{ "n3" } },
    Row{ { "job",
           "put",
           "j1",
           "--pool",
           "rota",
           "--team",
           "tax",
           "--tasks",
           "20",
           "--cores",
           "0.5",
           "--memory-mb",
           "512",
           "--urgent" },
         PutJob{
           JobRecord{ "j1", "rota", "tax", 20, 500, 512, 1, true, false } } },
    Row{ { "job", "cancel", "j1" }, CancelJob{ "j1" } },
    Row{ { "quota", "set", "tax", "--cores", "40" },
         SetQuota{ TeamQuota{ "tax", 40000, 0 } } },
    Row{ { "set", "rota", "weight", "-5" },
         SetCell{ "rota", "weight", "-5", 12 } });
  StubNode node;
  const auto run = RunWith(node.Address(), row.words_);
  INFO(run.err_);
  CHECK(run.exitCode_ == 0);
  REQUIRE(node.Commands().size() == 1);
  auto sent = node.Commands()[0];
  sent.erase("request_id");
  const auto command = CommandFromJson(sent);
  REQUIRE(IsOk(command));
  CHECK(ValueOf(command) == row.command_);
}

TEST_CASE("why finds what a word means")
{
  StubNode node;
  node.Set("GET /v1/pools", 200, json::array({ { { "pool", "rota" } } }));
  node.Set("GET /v1/vms", 200, json::array({ { { "id", "vm-1" } } }));
  node.Set("GET /v1/waves", 200, json::array());
  node.Set("GET /v1/nodes", 200, { { "nodes", json::array() } });
  node.Set("GET /v1/jobs", 200, json::array());
  node.Set("GET /v1/why/vm:vm-1",
           200,
           json::array({ { { "at_ms", 3723000 },
                           { "subject", "vm:vm-1" },
                           { "text", "drains for a move to spare" } } }));
  node.Set("GET /v1/why/wave:gone", 200, json::array());

  const auto vm = RunWith(node.Address(), { "why", "vm-1" });
  CHECK(vm.out_ == "1:02:03  vm:vm-1  drains for a move to spare\n");
  const auto wave = RunWith(node.Address(), { "why", "wave:gone" });
  CHECK(wave.exitCode_ == 0);
  CHECK(Contains(wave.out_, "no decision on wave:gone"));
  const auto unknown = RunWith(node.Address(), { "why", "x" });
  CHECK(unknown.exitCode_ == 2);
}

TEST_CASE("lists are filtered and printed")
{
  StubNode node;
  node.Set("GET /v1/vms",
           200,
           json::array({ { { "id", "vm-1" },
                           { "pool", "rota" },
                           { "evidence_age_ms", nullptr } },
                         { { "id", "vm-2" }, { "pool", "spare" } } }));
  const auto run = RunWith(node.Address(), { "vms", "--pool", "rota" });
  CHECK(Contains(run.out_, "vm-1"));
  CHECK_FALSE(Contains(run.out_, "vm-2"));
  const auto listed = RunWith(node.Address(), { "vms", "--json" });
  CHECK(json::parse(listed.out_).size() == 2);
}

// Guards against wrong input that is passed over or reported without its value.
TEST_CASE("wrong usage is named and ends with code 2")
{
  struct Row
  {
    std::vector<std::string> words_;
    std::string text_;
  };
  const auto row = GENERATE(
    Row{ { "tabel" }, "\"tabel\"" },
    Row{ { "wave" }, "\"wave\"" },
    Row{ { "set", "rota", "weight" }, "POOL COLUMN VALUE" },
    Row{ { "table", "extra" }, "takes no words" },
    Row{ { "table", "--colour" }, "colour" },
    Row{ { "table", "--timeout", "0" }, "from 1 to 3600" },
    Row{ { "table", "--timeout", "5s" }, "\"5s\"" },
    Row{ { "table", "--admin", "localhost:1" }, "\"localhost:1\"" },
    Row{ { "set", "r", "weight", "1", "--if-version", "x" }, "\"x\"" },
    Row{ { "job", "put", "j1", "--pool", "rota" }, "--team is missing" },
    Row{ { "job", "put", "j1", "--pool", "r", "--team", "t", "--cores", "x" },
         "\"x\"" },
    Row{ { "apply", "/no/such/file" }, "/no/such/file" },
    Row{ { "why", "\xFF" }, "UTF-8" });
  StubNode node;
  const auto run = RunWith(node.Address(), row.words_);
  INFO(run.err_);
  // A file that cannot be read is a fault of the surroundings.
  CHECK(run.exitCode_ == (row.words_[0] == "apply" ? 6 : 2));
  CHECK(Contains(run.err_, row.text_));
  CHECK(node.Commands().empty());
}

TEST_CASE("without an address the client says how to give one")
{
  const auto run = RunWith("", { "table" });
  CHECK(run.exitCode_ == 2);
  CHECK(Contains(run.err_, "ACACIAHILL_ADMIN"));
}

// Guards against a command that is missing from the help or lacks examples.
TEST_CASE("every command has help with examples")
{
  const auto all = RunWith("", { "--help" });
  CHECK(all.exitCode_ == 0);
  for (const auto& command : acaciahill::detail::CommandTable()) {
    INFO(command.name_);
    CHECK(Contains(all.out_, std::string(command.name_)));
    std::istringstream name{ std::string(command.name_) };
    std::vector<std::string> words;
    for (std::string word; name >> word;) {
      words.push_back(word);
    }
    words.emplace_back("--help");
    const auto run = RunWith("", words);
    CHECK(run.exitCode_ == 0);
    REQUIRE_FALSE(command.examples_.empty());
    CHECK(Contains(run.out_, std::string(command.examples_[0])));
    CHECK(Contains(run.out_, "--request-id"));
  }
}
