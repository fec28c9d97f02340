#include "client/client_func.h"
#include "client/text_table_func.h"

#include <array>

namespace acaciahill {

namespace {

using Json = nlohmann::json;

/// Prints a list as JSON or as aligned text.
Result<Done>
PrintList(const CommandContext& aContext,
          const std::vector<TextColumn>& aColumns,
          const Json& aList)
{
  aContext.out_ << (aContext.Has("json") ? aList.dump(2) + "\n"
                                         : ListAsText(aColumns, aList));
  return Done{};
}

/// A kind of subject: its prefix, and where its members are listed.
struct SubjectKind
{
  std::string_view prefix_;
  std::string_view path_;
  /// Member of the answer that holds the list; empty when it is the list.
  std::string_view list_;
  std::string_view id_;
};

constexpr std::array kSubjectKinds = {
  SubjectKind{ "pool", "/v1/pools", "", "pool" },
  SubjectKind{ "vm", "/v1/vms", "", "id" },
  SubjectKind{ "wave", "/v1/waves", "", "id" },
  SubjectKind{ "node", "/v1/nodes", "nodes", "id" },
  SubjectKind{ "job", "/v1/jobs", "", "id" },
};

bool
HasPrefix(const std::string& aSubject)
{
  return std::any_of(
    kSubjectKinds.begin(), kSubjectKinds.end(), [&](const SubjectKind& aKind) {
      return aSubject.rfind(std::string(aKind.prefix_) + ":", 0) == 0;
    });
}

/// Percent-encodes what may not stand in a path.
std::string
EncodePath(const std::string& aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr unsigned kLow = 0x0F;
  std::string encoded;
  for (const char c : aText) {
    const auto byte = static_cast<unsigned char>(c);
    const bool isPlain =
      (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
      (c >= '0' && c <= '9') ||
      std::string_view("-._:").find(c) != std::string_view::npos;
    if (isPlain) {
      encoded += c;
    } else {
      encoded += '%';
      encoded += kDigits[byte >> 4U];
      encoded += kDigits[byte & kLow];
    }
  }
  return encoded;
}

/// The full subjects that a word may mean, such as "pool:rota".
Result<std::vector<std::string>>
FindSubjects(AdminClient& aAdmin, const std::string& aWord)
{
  if (HasPrefix(aWord)) {
    return std::vector<std::string>{ aWord };
  }
  std::vector<std::string> subjects;
  for (const auto& kind : kSubjectKinds) {
    const auto answer = aAdmin.GetJson(std::string(kind.path_));
    if (!IsOk(answer)) {
      return ErrorOf(answer);
    }
    const auto& list = kind.list_.empty()
                         ? ValueOf(answer)
                         : ValueOf(answer).at(std::string(kind.list_));
    for (const auto& item : list) {
      if (item.value(std::string(kind.id_), std::string()) == aWord) {
        subjects.push_back(std::string(kind.prefix_) + ":" + aWord);
      }
    }
  }
  if (subjects.empty()) {
    return Error{ ErrorKind::BadRequest,
                  "\"" + aWord +
                    "\" is no pool, VM, wave, node or job that exists now; for "
                    "one that is gone, name its kind, as in vm:" +
                    aWord };
  }
  return subjects;
}

std::string
MillisAsText(const Json& aMillis)
{
  if (!aMillis.is_number()) {
    return "-";
  }
  const auto seconds = aMillis.get<std::int64_t>() / 1000;
  constexpr std::int64_t kSecondsPerMinute = 60;
  constexpr std::int64_t kSecondsPerHour = 3600;
  const auto two = [](std::int64_t aNumber) {
    return (aNumber < 10 ? "0" : "") + std::to_string(aNumber);
  };
  return std::to_string(seconds / kSecondsPerHour) + ":" +
         two(seconds % kSecondsPerHour / kSecondsPerMinute) + ":" +
         two(seconds % kSecondsPerMinute);
}

} // namespace

Result<Done>
ShowPools(const CommandContext& aContext)
{
  const auto pools = aContext.admin_.GetJson("/v1/pools");
  if (!IsOk(pools)) {
    return ErrorOf(pools);
  }
  return PrintList(aContext,
                   { { "POOL", "pool" },
                     { "SIZE", "size" },
                     { "VMS", "vms" },
                     { "AVAILABLE", "available" },
                     { "MIN", "min_available" },
                     { "HEADROOM", "headroom" },
                     { "DRAINING", "draining" },
                     { "STOPPING", "stopping" },
                     { "LOST", "lost" },
                     { "UNKNOWN", "unknown" },
                     { "MAX_UNAVAILABLE", "max_unavailable" },
                     { "IN_FLIGHT", "in_flight" },
                     { "QUEUED", "queued" } },
                   ValueOf(pools));
}

Result<Done>
ShowVms(const CommandContext& aContext)
{
  const auto vms = aContext.admin_.GetJson("/v1/vms");
  if (!IsOk(vms)) {
    return ErrorOf(vms);
  }
  auto list = Json::array();
  for (const auto& vm : ValueOf(vms)) {
    if (!aContext.Has("pool") ||
        vm.value("pool", std::string()) == aContext.Text("pool")) {
      list.push_back(vm);
    }
  }
  return PrintList(aContext,
                   { { "VM", "id" },
                     { "POOL", "pool" },
                     { "PHASE", "phase" },
                     { "USABLE", "usable" },
                     { "EPOCH", "epoch" },
                     { "INCARNATION", "incarnation" },
                     { "ZONE", "zone" },
                     { "RACK", "rack" },
                     { "ADDRESS", "address" },
                     { "SLOTS", "slots" },
                     { "RUNNING", "running" },
                     { "AGE_MS", "evidence_age_ms" },
                     { "MOVE_TO", "move_to" },
                     { "PERMIT", "permit" } },
                   list);
}

Result<Done>
ShowNodes(const CommandContext& aContext)
{
  const auto answer = aContext.admin_.GetJson("/v1/nodes");
  if (!IsOk(answer)) {
    return ErrorOf(answer);
  }
  const auto& body = ValueOf(answer);
  if (aContext.Has("json")) {
    aContext.out_ << body.dump(2) << '\n';
    return Done{};
  }
  PrintList(aContext,
            { { "NODE", "id" },
              { "ZONE", "zone" },
              { "VOTER", "voter" },
              { "APPLIED", "applied" },
              { "TABLE", "table_version" },
              { "AGE_MS", "age_ms" },
              { "PEERS", "peer_address" },
              { "ADMIN", "admin_address" } },
            body.at("nodes"));
  const auto leader = body.value("leader", std::string());
  aContext.out_ << "leader " << (leader.empty() ? "unknown" : leader) << ", as "
                << body.value("self", std::string()) << " sees it\n";
  if (body.value("stale", false)) {
    aContext.err_ << "stale: the node that answered cannot reach control\n";
  }
  return Done{};
}

Result<Done>
ShowWhy(const CommandContext& aContext)
{
  const auto subjects = FindSubjects(aContext.admin_, aContext.words_[0]);
  if (!IsOk(subjects)) {
    return ErrorOf(subjects);
  }
  auto all = Json::array();
  for (const auto& subject : ValueOf(subjects)) {
    const auto decisions =
      aContext.admin_.GetJson("/v1/why/" + EncodePath(subject));
    if (!IsOk(decisions)) {
      return ErrorOf(decisions);
    }
    if (!aContext.Has("json") && ValueOf(decisions).empty()) {
      aContext.out_ << "no decision on " << subject << " is on record\n";
    }
    for (const auto& decision : ValueOf(decisions)) {
      all.push_back(decision);
    }
  }
  if (aContext.Has("json")) {
    aContext.out_ << all.dump(2) << '\n';
    return Done{};
  }
  for (const auto& decision : all) {
    aContext.out_ << MillisAsText(decision.value("at_ms", Json())) << "  "
                  << decision.value("subject", std::string()) << "  "
                  << decision.value("text", std::string()) << '\n';
  }
  return Done{};
}

Result<Done>
RemoveOneVm(const CommandContext& aContext)
{
  const auto reply = SendChange(
    aContext, { { "type", "remove_vm" }, { "vm", aContext.words_[0] } });
  return IsOk(reply) ? Result<Done>(Done{}) : ErrorOf(reply);
}

Result<Done>
RemoveOneNode(const CommandContext& aContext)
{
  const auto reply = SendChange(
    aContext, { { "type", "remove_node" }, { "node", aContext.words_[0] } });
  return IsOk(reply) ? Result<Done>(Done{}) : ErrorOf(reply);
}

} // namespace acaciahill
