#pragma once

#include "worker.h"

namespace review {

/// The platform's interface for machines, as PROTOCOL.md describes it, with the
/// workers of the machines. A call of upkeep can be left without an answer and
/// carried out late.
class Platform
{
public:
  Platform(std::string aAddress,
           std::vector<std::string> aControl,
           Record& aLog,
           std::function<WorkerOptions(int aMachine, int aLife)> aMakeWorker,
           std::vector<std::string> aMachines)
    : control_(std::move(aControl))
    , log_(aLog)
    , makeWorker_(std::move(aMakeWorker))
  {
    for (std::size_t i = 0; i < aMachines.size(); ++i) {
      auto& machine = machines_[aMachines[i]];
      machine.index_ = static_cast<int>(i);
      StartWorker(aMachines[i], machine);
    }
    server_ = std::make_unique<Server>(
      aAddress, [this](const Request& aRequest) { return Handle(aRequest); });
    timer_ = std::thread([this] { Run(); });
  }

  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  ~Platform()
  {
    stop_ = true;
    timer_.join();
    server_.reset();
  }

  /// The wave that the operator announced: at most that many machines down.
  void SetWave(std::int64_t aWave, std::size_t aCap)
  {
    const std::lock_guard lock(mutex_);
    wave_ = aWave;
    cap_ = aCap;
  }

  /// That many of the next calls of upkeep get no answer and are carried out
  /// after this time.
  void DelayUpkeep(int aCalls, std::int64_t aByMs)
  {
    const std::lock_guard lock(mutex_);
    delayedCalls_ = aCalls;
    delayMs_ = aByMs;
  }

  bool AllConfirmed()
  {
    const std::lock_guard lock(mutex_);
    return std::all_of(
      machines_.begin(), machines_.end(), [](const auto& aEntry) {
        return aEntry.second.worker_ && aEntry.second.worker_->Renewals() > 2;
      });
  }

  int RunningTasks()
  {
    const std::lock_guard lock(mutex_);
    int tasks = 0;
    for (auto& [name, machine] : machines_) {
      tasks +=
        machine.worker_ ? static_cast<int>(machine.worker_->Running().size())
                        : 0;
    }
    return tasks;
  }

  std::size_t Begun()
  {
    const std::lock_guard lock(mutex_);
    return begun_;
  }

  std::size_t CallsOfUpkeep()
  {
    const std::lock_guard lock(mutex_);
    return calls_;
  }

  std::size_t DelayedAndCarriedOut()
  {
    const std::lock_guard lock(mutex_);
    return lateCarriedOut_;
  }

  /// Upkeeps that began while as many machines as the wave's cap were down.
  std::size_t BeyondCap()
  {
    const std::lock_guard lock(mutex_);
    return beyondCap_;
  }

private:
  struct Machine
  {
    int index_ = 0;
    int lives_ = 0;
    std::int64_t fence_ = 0;
    std::int64_t backAt_ = 0;
    std::int64_t doneWave_ = 0;
    std::unique_ptr<Worker> worker_;
  };
  struct Late
  {
    std::int64_t at_ = 0;
    std::string machine_;
    std::int64_t wave_ = 0;
    std::int64_t fence_ = 0;
  };

  void StartWorker(const std::string& aName, Machine& aMachine)
  {
    auto options = makeWorker_(aMachine.index_, ++aMachine.lives_);
    options.machine_ = aName;
    aMachine.worker_ = std::make_unique<Worker>(options, control_, log_);
  }

  std::optional<Answer> Handle(const Request& aRequest)
  {
    const std::lock_guard lock(mutex_);
    if (aRequest.method_ == "GET") {
      json list = json::array();
      for (const auto& [name, machine] : machines_) {
        list.push_back({ { "machine", name },
                         { "pool", "rosters" },
                         { "state", machine.backAt_ > 0 ? "upkeep" : "up" },
                         { "zone", "zone-a" },
                         { "labels", { "a", "r1" } },
                         { "capacity",
                           { { "cpu", 16000 },
                             { "memMb", 32768 },
                             { "gpu", 0 } } },
                         { "id",
                           machine.worker_ ? machine.worker_->Id() : "" } });
      }
      return Answer{ 200, json{ { "machines", list } }.dump(), {} };
    }
    const auto body = json::parse(aRequest.body_, nullptr, false);
    const auto fence = aRequest.headers_.find("x-fencing-token");
    const Late order{ NowMs() + delayMs_,
                      body.value("machine", ""),
                      body.value("wave", std::int64_t{ 0 }),
                      fence == aRequest.headers_.end()
                        ? 0
                        : std::atoll(fence->second.c_str()) };
    if (aRequest.path_ != "/machine-upkeep") {
      return Answer{ 400, "{}", {} };
    }
    ++calls_;
    if (delayedCalls_ > 0) {
      --delayedCalls_;
      late_.push_back(order);
      log_.Line("platform: upkeep of " + order.machine_ +
                " is asked for; no answer, carried out " +
                std::to_string(delayMs_) + " ms later");
      return std::nullopt;
    }
    const auto answer = CarryOut(order);
    log_.Line("platform: upkeep of " + order.machine_ + " is asked for -> " +
              std::to_string(answer.status_) + " " + answer.body_);
    return answer;
  }

  Answer CarryOut(const Late& aOrder)
  {
    const auto found = machines_.find(aOrder.machine_);
    if (found == machines_.end()) {
      return { 400, "{}", {} };
    }
    auto& machine = found->second;
    if (aOrder.fence_ < machine.fence_) {
      return { 409, R"({"reason":"fence"})", {} };
    }
    machine.fence_ = aOrder.fence_;
    if (aOrder.wave_ != wave_) {
      return { 409, R"({"reason":"wave"})", {} };
    }
    if (machine.doneWave_ == wave_) {
      return { 200, "{}", {} };
    }
    if (machine.backAt_ > 0) {
      return { 409, R"({"reason":"busy"})", {} };
    }
    const auto down = static_cast<std::size_t>(std::count_if(
      machines_.begin(), machines_.end(), [](const auto& aEntry) {
        return aEntry.second.backAt_ > 0;
      }));
    machine.doneWave_ = wave_;
    machine.backAt_ = NowMs() + kMaintenanceMs;
    machine.worker_.reset();
    ++begun_;
    const bool isBeyond = down >= cap_;
    beyondCap_ += isBeyond ? 1 : 0;
    log_.Line("platform: the upkeep of " + aOrder.machine_ +
              " begins, others down: " + std::to_string(down) + ", cap " +
              std::to_string(cap_) + (isBeyond ? " - beyond the cap" : ""));
    return { 200, "{}", {} };
  }

  void Run()
  {
    while (!stop_) {
      SleepMs(10);
      const std::lock_guard lock(mutex_);
      const auto now = NowMs();
      for (auto& [name, machine] : machines_) {
        if (machine.backAt_ > 0 && machine.backAt_ <= now) {
          machine.backAt_ = 0;
          StartWorker(name, machine);
          log_.Line("platform: " + name + " is back, its worker is " +
                    machine.worker_->Id());
        }
      }
      for (const auto& order : late_) {
        if (order.at_ <= now) {
          const auto answer = CarryOut(order);
          ++lateCarriedOut_;
          log_.Line("platform: the late call for " + order.machine_ +
                    " is carried out -> " + std::to_string(answer.status_) +
                    " " + answer.body_);
        }
      }
      std::erase_if(late_, [now](const Late& aOrder) {
        return aOrder.at_ <= now;
      });
    }
  }

  static constexpr std::int64_t kMaintenanceMs = 2000;

  const std::vector<std::string> control_;
  Record& log_;
  const std::function<WorkerOptions(int, int)> makeWorker_;
  std::mutex mutex_;
  std::map<std::string, Machine> machines_;
  std::vector<Late> late_;
  std::int64_t wave_ = 0;
  std::size_t cap_ = 1;
  int delayedCalls_ = 0;
  std::int64_t delayMs_ = 0;
  std::size_t calls_ = 0;
  std::size_t begun_ = 0;
  std::size_t beyondCap_ = 0;
  std::size_t lateCarriedOut_ = 0;
  std::atomic<bool> stop_{ false };
  std::unique_ptr<Server> server_;
  std::thread timer_;
};

} // namespace review
