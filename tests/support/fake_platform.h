#pragma once

#include "support/http_func.h"
#include "support/journal.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace acaciahill::testing {

struct FakePlatformSettings
{
  std::string listen_ = "127.0.0.1:0";
  /// Address of each VM's control path, by VM id.
  std::map<std::string, std::string> vms_;
  /// Time for which a rebooting VM is away.
  Millis reboot_{ 1000 };
  /// File of JSON lines about each stop; empty writes none.
  std::string journal_;
};

/// Stand-in for the platform. POST /v1/vms/{id}/reboot {"operation": ...}
/// reboots a VM once for each operation id; GET /v1/operations lists what was
/// done.
///
/// Journal: {"operation", "vm", "at_ns", "in_flight", "stopped"} for each stop,
/// with the number of requests that it interrupted. A VM that could not be
/// reached has "stopped": false.
///
/// Control: POST /control takes {"vms": {ID: ADDRESS}} to add VMs,
/// {"reboot_ms": N}, {"delay_ms": N} before each stop, and the counts
/// {"fail": N} (answers 503 and does nothing) and {"lose_answer": N} (does it
/// and closes without an answer); -1 means all.
class FakePlatform
{
public:
  explicit FakePlatform(FakePlatformSettings aSettings);
  FakePlatform(const FakePlatform&) = delete;
  FakePlatform& operator=(const FakePlatform&) = delete;
  ~FakePlatform();

  std::string Address() const { return server_->Address(); }
  nlohmann::json Operations() const;
  void Control(const nlohmann::json& aSwitches);

private:
  bool Handle(HttpConnection& aConnection, const HttpMessage& aRequest);
  bool HandleReboot(HttpConnection& aConnection, const HttpMessage& aRequest);
  /// Stops the VM when the operation is new; returns the operation.
  nlohmann::json Reboot(const std::string& aVm, const std::string& aOperation);
  bool Take(std::int64_t& aCount);

  mutable std::mutex mutex_;
  FakePlatformSettings settings_;
  Journal journal_;
  std::map<std::string, nlohmann::json> operations_;
  Millis delay_{ 0 };
  std::int64_t fail_ = 0;
  std::int64_t loseAnswer_ = 0;
  std::unique_ptr<HttpServer> server_;
};

} // namespace acaciahill::testing
