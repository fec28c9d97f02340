#include "support/fake_platform.h"

#include <thread>

namespace acaciahill::testing {

namespace {

using nlohmann::json;

constexpr Millis kControlTimeout{ 2000 };
constexpr std::string_view kVmsPrefix = "/v1/vms/";
constexpr std::string_view kRebootSuffix = "/reboot";

bool
SendJson(HttpConnection& aConnection, int aStatus, const json& aBody)
{
  return aConnection.Send(FormatAnswer(
    aStatus, { { "Content-Type", "application/json" } }, aBody.dump()));
}

/// The VM id of a reboot path; empty for any other path.
std::string
RebootedVm(const std::string& aPath)
{
  const auto affixes = kVmsPrefix.size() + kRebootSuffix.size();
  if (aPath.size() <= affixes || aPath.rfind(kVmsPrefix, 0) != 0 ||
      aPath.substr(aPath.size() - kRebootSuffix.size()) != kRebootSuffix) {
    return {};
  }
  return aPath.substr(kVmsPrefix.size(), aPath.size() - affixes);
}

} // namespace

FakePlatform::FakePlatform(FakePlatformSettings aSettings)
  : settings_(std::move(aSettings))
  , journal_(settings_.journal_)
{
  server_ = std::make_unique<HttpServer>(
    settings_.listen_,
    [this](HttpConnection& aConnection, const HttpMessage& aRequest) {
      return Handle(aConnection, aRequest);
    });
}

FakePlatform::~FakePlatform()
{
  server_->Stop();
}

nlohmann::json
FakePlatform::Operations() const
{
  const std::lock_guard lock(mutex_);
  json list = json::array();
  for (const auto& [id, operation] : operations_) {
    list.push_back(operation);
  }
  return list;
}

void
FakePlatform::Control(const nlohmann::json& aSwitches)
{
  const std::lock_guard lock(mutex_);
  const auto vms = aSwitches.value("vms", json::object());
  for (const auto& [id, address] : vms.items()) {
    settings_.vms_[id] = address.get<std::string>();
  }
  settings_.reboot_ =
    Millis(aSwitches.value("reboot_ms", settings_.reboot_.count()));
  delay_ = Millis(aSwitches.value("delay_ms", delay_.count()));
  fail_ = aSwitches.value("fail", fail_);
  loseAnswer_ = aSwitches.value("lose_answer", loseAnswer_);
}

bool
FakePlatform::Take(std::int64_t& aCount)
{
  const std::lock_guard lock(mutex_);
  if (aCount == 0) {
    return false;
  }
  if (aCount > 0) {
    --aCount;
  }
  return true;
}

bool
FakePlatform::Handle(HttpConnection& aConnection, const HttpMessage& aRequest)
{
  if (aRequest.path_ == "/control") {
    const auto switches = json::parse(aRequest.body_, nullptr, false);
    if (!switches.is_object()) {
      return SendJson(aConnection, 400, { { "error", "bad_request" } });
    }
    Control(switches);
    return SendJson(aConnection, 200, { { "ok", true } });
  }
  if (aRequest.method_ == "GET" && aRequest.path_ == "/v1/operations") {
    return SendJson(aConnection, 200, Operations());
  }
  if (aRequest.method_ == "POST" && !RebootedVm(aRequest.path_).empty()) {
    return HandleReboot(aConnection, aRequest);
  }
  return SendJson(aConnection, 404, { { "error", "not_found" } });
}

bool
FakePlatform::HandleReboot(HttpConnection& aConnection,
                           const HttpMessage& aRequest)
{
  const auto vm = RebootedVm(aRequest.path_);
  const auto body = json::parse(aRequest.body_, nullptr, false);
  if (!body.is_object() || !body.contains("operation")) {
    return SendJson(aConnection, 400, { { "error", "bad_request" } });
  }
  if (Take(fail_)) {
    return SendJson(aConnection, 503, { { "error", "unavailable" } });
  }
  {
    const std::lock_guard lock(mutex_);
    if (settings_.vms_.count(vm) == 0) {
      return SendJson(aConnection, 404, { { "error", "unknown_vm" } });
    }
  }
  const auto operation = Reboot(vm, body["operation"].get<std::string>());
  if (Take(loseAnswer_)) {
    return false;
  }
  return SendJson(aConnection, 200, operation);
}

nlohmann::json
FakePlatform::Reboot(const std::string& aVm, const std::string& aOperation)
{
  std::string address;
  Millis away{ 0 };
  Millis delay{ 0 };
  {
    // The operation is on record before the stop, so that a second request
    // that arrives during the stop does not stop the VM again.
    const std::lock_guard lock(mutex_);
    const auto [it, isNew] = operations_.try_emplace(
      aOperation,
      json{ { "operation", aOperation }, { "vm", aVm }, { "requests", 0 } });
    it->second["requests"] = it->second["requests"].get<int>() + 1;
    if (!isNew) {
      return it->second;
    }
    address = settings_.vms_[aVm];
    away = settings_.reboot_;
    delay = delay_;
  }
  std::this_thread::sleep_for(delay);
  const auto outcome = HttpCall(
    address,
    { "POST", "/control", {}, json{ { "reboot_ms", away.count() } }.dump() },
    kControlTimeout);
  const auto answer = json::parse(outcome.answer_.body_, nullptr, false);

  const std::lock_guard lock(mutex_);
  auto& operation = operations_[aOperation];
  operation["stopped"] = outcome.Answered() && answer.is_object();
  operation["at_ns"] =
    answer.is_object() ? answer.value("at_ns", MonotonicNs()) : MonotonicNs();
  operation["in_flight"] =
    answer.is_object() ? answer.value("in_flight", 0) : 0;
  journal_.Write(operation);
  return operation;
}

} // namespace acaciahill::testing
