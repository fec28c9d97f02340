#pragma once

#include "world.h"

namespace review {

/// The platform's list of machines and the calls that change them.
class Cloud
{
public:
  struct Machine
  {
    std::string name_;
    std::string pool_;
    std::string state_ = "up";
    std::string zone_;
    std::string worker_;
    std::uint64_t fence_ = 0;
    std::int64_t upAtMs_ = 0;
    std::int64_t upkeeps_ = 0;
  };

  Cloud(Record& aRecord, const std::string& aAddress)
    : record_(aRecord)
    , server_(aAddress, [this](const Request& aRequest) {
      return Serve(aRequest);
    })
  {
  }

  bool Open() { return server_.Open(); }

  void Add(Machine aMachine)
  {
    const std::lock_guard lock(mutex_);
    machines_[aMachine.name_] = std::move(aMachine);
  }

  std::int64_t UpkeepsOf(const std::string& aMachine)
  {
    const std::lock_guard lock(mutex_);
    return machines_.at(aMachine).upkeeps_;
  }

  /// The entry of this machine comes from another writer in the next readings.
  std::string oddMachine_;
  std::atomic<int> oddReadings_{ 0 };
  std::atomic<int> readings_{ 0 };
  std::atomic<int> listDelayMs_{ 0 };
  /// A machine goes down for upkeep, or is back.
  std::function<void(const std::string&, bool)> onUpkeep_;
  int upkeepMs_ = 2000;

private:
  Response Serve(const Request& aRequest)
  {
    const auto path = aRequest.path_.substr(0, aRequest.path_.find('?'));
    if (path == "/machines") {
      auto list = json::array();
      {
        const std::lock_guard lock(mutex_);
        const bool isOdd = oddReadings_ > 0;
        oddReadings_ -= isOdd ? 1 : 0;
        ++readings_;
        for (const auto& [name, machine] : machines_) {
          json entry{ { "machine", name },
                      { "pool", machine.pool_ },
                      { "state", machine.state_ },
                      { "zone", machine.zone_ },
                      { "labels", { "a", "r1" } },
                      { "capacity",
                        { { "cpu", 16000 }, { "memMb", 32768 }, { "gpu", 0 } } },
                      { "id", machine.worker_ } };
          if (isOdd && name == oddMachine_) {
            entry["state"] = 7;
            record_.Add("platform lists " + entry.dump());
          }
          list.push_back(entry);
        }
        record_.Add("platform lists " + std::to_string(list.size()) +
                    " machines");
      }
      if (listDelayMs_ > 0) {
        SleepMs(listDelayMs_);
      }
      return { 200,
               json{ { "machines", list }, { "nextPageToken", nullptr } }
                 .dump() };
    }
    const auto body = json::parse(aRequest.body_, nullptr, false);
    if (!body.is_object()) {
      return { 400, "{}" };
    }
    const auto name = body.value("machine", std::string());
    std::unique_lock lock(mutex_);
    const auto found = machines_.find(name);
    if (found == machines_.end()) {
      return { 400, "{}" };
    }
    auto& machine = found->second;
    const auto token = aRequest.headers_.find("X-Fencing-Token");
    const auto fence =
      token == aRequest.headers_.end() ? 0 : std::stoull(token->second);
    record_.Add("platform gets " + path + " " + aRequest.body_ + " fence " +
                std::to_string(fence));
    if (fence < machine.fence_) {
      return { 409, R"({"reason":"fence"})" };
    }
    machine.fence_ = fence;
    if (machine.state_ != "up") {
      return { 409, R"({"reason":"busy"})" };
    }
    if (path == "/machine-upkeep") {
      machine.state_ = "upkeep";
      ++machine.upkeeps_;
      std::thread([this, name] {
        onUpkeep_(name, true);
        SleepMs(upkeepMs_);
        onUpkeep_(name, false);
        const std::lock_guard again(mutex_);
        machines_.at(name).state_ = "up";
      }).detach();
    }
    return { 200, "{}" };
  }

  Record& record_;
  std::mutex mutex_;
  std::map<std::string, Machine> machines_;
  Server server_;
};

} // namespace review
