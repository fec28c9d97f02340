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

  void SetState(const std::string& aMachine, const std::string& aState)
  {
    const std::lock_guard lock(mutex_);
    machines_.at(aMachine).state_ = aState;
  }

  void Remove(const std::string& aMachine)
  {
    const std::lock_guard lock(mutex_);
    machines_.erase(aMachine);
  }

  /// The machines of each pool.
  std::string Summary()
  {
    const std::lock_guard lock(mutex_);
    std::map<std::string, int> pools;
    for (const auto& [name, machine] : machines_) {
      ++pools[machine.pool_];
    }
    std::string text = "machines:";
    for (const auto& [pool, count] : pools) {
      text += " " + pool + " " + std::to_string(count);
    }
    return text;
  }

  std::int64_t UpkeepsOf(const std::string& aMachine)
  {
    const std::lock_guard lock(mutex_);
    return machines_.at(aMachine).upkeeps_;
  }

  /// Each page of the list is answered after this time.
  std::atomic<int> listDelayMs_{ 0 };
  /// Machines on a page, in the order of their names.
  std::size_t pageSize_ = 200;
  /// Called when a page has been read, with its first machine.
  std::function<void(const std::string&)> onPage_;
  /// A machine goes down for upkeep, or is back.
  std::function<void(const std::string&, bool)> onUpkeep_;
  /// A machine joins another pool.
  std::function<void(const std::string&, const std::string&)> onMove_;
  int upkeepMs_ = 2000;
  int moveMs_ = 1500;

  void SetWorker(const std::string& aMachine, const std::string& aWorker)
  {
    const std::lock_guard lock(mutex_);
    machines_.at(aMachine).worker_ = aWorker;
  }

private:
  /// The page that begins at the machine; it is read when it is answered.
  Response List(const std::string& aFrom)
  {
    SleepMs(listDelayMs_);
    auto list = json::array();
    json next = nullptr;
    {
      const std::lock_guard lock(mutex_);
      for (auto each = machines_.lower_bound(aFrom); each != machines_.end();
           ++each) {
        const auto& [name, machine] = *each;
        if (list.size() == pageSize_) {
          next = name;
          break;
        }
        list.push_back(
          { { "machine", name },
            { "pool", machine.pool_ },
            { "state", machine.state_ },
            { "zone", machine.zone_ },
            { "labels", { "a", "r1" } },
            { "capacity",
              { { "cpu", 16000 }, { "memMb", 32768 }, { "gpu", 0 } } },
            { "id", machine.worker_ } });
      }
    }
    std::string names;
    for (const auto& each : list) {
      names += " " + each["machine"].get<std::string>();
    }
    record_.Add("platform lists" + names);
    if (onPage_) {
      onPage_(aFrom);
    }
    return { 200,
             json{ { "machines", list }, { "nextPageToken", next } }.dump() };
  }

  Response Serve(const Request& aRequest)
  {
    const auto path = aRequest.path_.substr(0, aRequest.path_.find('?'));
    if (path == "/machines") {
      const auto token = aRequest.path_.find("pageToken=");
      return List(token == std::string::npos
                    ? std::string()
                    : aRequest.path_.substr(token + 10));
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
    const auto pool = body.value("pool", std::string());
    if (path == "/machine-move" && machine.pool_ != pool) {
      machine.state_ = "moving";
      machine.pool_ = pool;
      std::thread([this, name, pool] {
        onMove_(name, "");
        SleepMs(moveMs_);
        onMove_(name, pool);
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
