#include "client/admin_client_base.h"

#include "kernel/error_func.h"
#include "kernel/os_clock_func.h"
#include "state/table_func.h"

#include <algorithm>
#include <thread>

namespace acaciahill {

namespace {

using Json = nlohmann::json;

constexpr Millis kResendPause{ 300 };
constexpr Millis kInForcePoll{ 200 };

/// Errors after which another node, or the same one a little later, may accept
/// the change.
bool
IsTransient(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::NotLeader:
    case ErrorKind::ControlUnreachable:
    case ErrorKind::ProposalLost:
    case ErrorKind::Timeout:
    case ErrorKind::NodeStopping:
    case ErrorKind::NodeOverloaded:
      return true;
    default:
      return false;
  }
}

Error
ErrorOfReply(const AdminReply& aReply)
{
  const auto body = Json::parse(aReply.body_, nullptr, false);
  if (body.is_object()) {
    const auto text = [&body](const char* aName) {
      const auto found = body.find(aName);
      return found != body.end() && found->is_string()
               ? found->get<std::string>()
               : std::string();
    };
    if (const auto kind = ErrorKindFromName(text("error"))) {
      return { *kind, text("detail") };
    }
  }
  return { ErrorKind::AnswerMalformed,
           "the node answered with status " + std::to_string(aReply.status_) +
             " and without a known error; is this an admin address?" };
}

std::optional<ChangeReply>
ReadChangeReply(const AdminReply& aReply)
{
  const auto body = Json::parse(aReply.body_, nullptr, false);
  if (!body.is_object()) {
    return std::nullopt;
  }
  try {
    return ChangeReply{ body.at("table_version").get<std::uint64_t>(),
                        body.at("index").get<std::uint64_t>(),
                        body.value("text", std::string()) };
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

InForceReply
ReadInForce(const Json& aBody)
{
  InForceReply reply;
  reply.on_ = aBody.value("on", std::int64_t{ 0 });
  reply.of_ = aBody.value("of", std::int64_t{ 0 });
  reply.behind_ = aBody.value("behind", std::vector<std::string>());
  return reply;
}

std::string
Joined(const std::vector<std::string>& aItems, const char* aSeparator)
{
  std::string text;
  for (const auto& item : aItems) {
    text += (text.empty() ? "" : aSeparator) + item;
  }
  return text;
}

Error
NobodyAnswered(const std::vector<std::string>& aFaults)
{
  return { ErrorKind::ControlUnreachable,
           "no admin address answered (" + Joined(aFaults, "; ") + ")" };
}

} // namespace

AdminClient::AdminClient(AdminClientSettings aSettings)
  : settings_(std::move(aSettings))
{
}

Result<AdminReply>
AdminClient::Get(const std::string& aPath)
{
  std::vector<std::string> faults;
  const auto count = settings_.addresses_.size();
  for (std::size_t i = 0; i < count; ++i) {
    const auto position = (preferred_ + i) % count;
    const auto& address = settings_.addresses_[position];
    const auto outcome =
      CallAdmin(address, "GET", aPath, "", settings_.callTimeout_);
    if (!outcome.reply_) {
      faults.push_back(address + ": " + outcome.fault_);
      continue;
    }
    if (outcome.reply_->status_ == 200) {
      preferred_ = position;
      return *outcome.reply_;
    }
    const auto error = ErrorOfReply(*outcome.reply_);
    if (!IsTransient(error.kind_)) {
      return error;
    }
    faults.push_back(address + ": " + Describe(error));
  }
  return NobodyAnswered(faults);
}

Result<nlohmann::json>
AdminClient::GetJson(const std::string& aPath)
{
  const auto reply = Get(aPath);
  if (!IsOk(reply)) {
    return ErrorOf(reply);
  }
  auto body = Json::parse(ValueOf(reply).body_, nullptr, false);
  if (body.is_discarded()) {
    return Error{ ErrorKind::AnswerMalformed,
                  "the answer to " + aPath + " is not JSON" };
  }
  return body;
}

Result<PoolTable>
AdminClient::ReadTable()
{
  const auto reply = Get("/v1/table.csv");
  if (!IsOk(reply)) {
    return ErrorOf(reply);
  }
  if (!ValueOf(reply).tableVersion_) {
    return Error{ ErrorKind::AnswerMalformed,
                  "the table came without its version" };
  }
  PoolTable table;
  table.version_ = *ValueOf(reply).tableVersion_;
  const auto rows = RowsFromCsv(ValueOf(reply).body_, {});
  if (!IsOk(rows)) {
    return ErrorOf(rows);
  }
  for (const auto& row : ValueOf(rows)) {
    table.rows_.emplace(row.pool_, row);
  }
  return table;
}

Result<ChangeReply>
AdminClient::Change(nlohmann::json aCommand)
{
  aCommand["request_id"] = settings_.requestId_;
  const auto body = aCommand.dump();
  const auto deadline = MonotonicNow() + settings_.timeout_;
  const auto count = settings_.addresses_.size();
  bool mayBeDone = false;
  std::vector<std::string> faults;
  do {
    bool isAnyoneThere = false;
    faults.clear();
    for (std::size_t i = 0; i < count; ++i) {
      const auto position = (preferred_ + i) % count;
      const auto& address = settings_.addresses_[position];
      const auto outcome = CallAdmin(
        address, "POST", "/v1/commands", body, settings_.callTimeout_);
      isAnyoneThere = isAnyoneThere || outcome.sent_;
      if (!outcome.reply_) {
        mayBeDone = mayBeDone || outcome.sent_;
        faults.push_back(address + ": " + outcome.fault_);
        continue;
      }
      if (outcome.reply_->status_ == 200) {
        if (const auto reply = ReadChangeReply(*outcome.reply_)) {
          preferred_ = position;
          return *reply;
        }
      }
      const auto error = ErrorOfReply(*outcome.reply_);
      const bool isDecided =
        !IsTransient(error.kind_) && error.kind_ != ErrorKind::AnswerMalformed;
      if (isDecided) {
        return error;
      }
      mayBeDone =
        mayBeDone || AnswerOf(error.kind_).outcome_ == Outcome::Unknown;
      faults.push_back(address + ": " + Describe(error));
    }
    if (!isAnyoneThere) {
      break;
    }
    std::this_thread::sleep_for(kResendPause);
  } while (MonotonicNow() < deadline);

  if (mayBeDone) {
    return Error{ ErrorKind::ProposalLost,
                  "it is not known whether the change was accepted (" +
                    Joined(faults, "; ") +
                    "); the same command with --request-id " +
                    settings_.requestId_ + " does not do it twice" };
  }
  return NobodyAnswered(faults);
}

Result<InForceReply>
AdminClient::WaitInForce(
  std::uint64_t aIndex,
  const std::function<void(const InForceReply&)>& aProgress)
{
  const auto deadline = MonotonicNow() + settings_.timeout_;
  const auto path = "/v1/in-force?index=" + std::to_string(aIndex);
  InForceReply last;
  std::string fault;
  while (true) {
    const auto body = GetJson(path);
    if (IsOk(body) && ValueOf(body).is_object()) {
      const auto reply = ReadInForce(ValueOf(body));
      if (reply != last) {
        last = reply;
        aProgress(reply);
      }
      if (reply.IsEverywhere()) {
        return reply;
      }
    } else if (!IsOk(body)) {
      fault = Describe(ErrorOf(body));
    }
    if (MonotonicNow() >= deadline) {
      break;
    }
    std::this_thread::sleep_for(kInForcePoll);
  }
  return Error{ ErrorKind::Timeout,
                "the change was accepted, but after " +
                  std::to_string(settings_.timeout_.count()) +
                  " ms it is in force on " + std::to_string(last.on_) + " of " +
                  std::to_string(last.of_) +
                  " nodes; behind: " + Joined(last.behind_, ", ") +
                  (fault.empty() ? "" : "; last fault: " + fault) };
}

} // namespace acaciahill
