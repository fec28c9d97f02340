#include "target_crowd.h"

#include <nlohmann/json.hpp>

namespace acaciahill::bench {

namespace {

using nlohmann::json;

constexpr int kWorkers = 12;
constexpr Millis kCallTimeout{ 3000 };
constexpr Millis kRetryAfter{ 1000 };
constexpr std::uint64_t kNsPerMs = 1000000;
/// Targets on one /24 of the loopback network.
constexpr std::size_t kPerSubnet = 250;
/// Head of the answer and of the request besides their bodies, as sent by
/// testing::HttpCall and POCO's server.
constexpr std::uint64_t kHeadBytes = 190;

} // namespace

TargetCrowd::TargetCrowd(CrowdSettings aSettings)
  : settings_(std::move(aSettings))
  , random_(settings_.seed_)
{
  server_ = std::make_unique<testing::HttpServer>(
    "0.0.0.0:0", [this](auto& aConnection, const auto& aRequest) {
      return Answer(aConnection, aRequest);
    });
  const auto address = server_->Address();
  port_ = address.substr(address.rfind(':'));
  for (int i = 0; i < kWorkers; ++i) {
    workers_.emplace_back([this] { Work(); });
  }
}

TargetCrowd::~TargetCrowd()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (auto& worker : workers_) {
    worker.join();
  }
  server_->Stop();
}

void
TargetCrowd::GrowTo(std::size_t aCount)
{
  const std::lock_guard lock(mutex_);
  std::vector<std::string> zones;
  for (const auto& [zone, addresses] : settings_.announce_) {
    zones.push_back(zone);
  }
  const auto rackSize = static_cast<std::size_t>(settings_.vmsPerRack_);
  while (targets_.size() < aCount) {
    const auto i = targets_.size();
    Target target;
    target.id_ = "vm-" + std::to_string(i + 1);
    target.zone_ = zones[i / rackSize % zones.size()];
    target.rack_ = "r" + std::to_string(i / rackSize);
    target.address_ = "127.1." + std::to_string(i / kPerSubnet) + "." +
                      std::to_string(1 + i % kPerSubnet) + port_;
    targets_.push_back(target);
    due_.emplace(testing::MonotonicNs() + random_() % (2000 * kNsPerMs), i);
  }
  changed_.notify_all();
}

std::string
TargetCrowd::Address(std::size_t aTarget) const
{
  const std::lock_guard lock(mutex_);
  return targets_.at(aTarget).address_;
}

std::size_t
TargetCrowd::Assigned() const
{
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
    std::count_if(targets_.begin(), targets_.end(), [](const auto& aTarget) {
      return aTarget.epoch_ > 0;
    }));
}

std::size_t
TargetCrowd::Tasks() const
{
  const std::lock_guard lock(mutex_);
  std::size_t sum = 0;
  for (const auto& target : targets_) {
    sum += target.tasks_.size();
  }
  return sum;
}

std::map<std::string, AnnounceTotals>
TargetCrowd::Totals() const
{
  const std::lock_guard lock(mutex_);
  return totals_;
}

void
TargetCrowd::Work()
{
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (due_.empty()) {
      changed_.wait(lock);
      continue;
    }
    const auto now = testing::MonotonicNs();
    const auto [time, index] = due_.top();
    if (time > now) {
      changed_.wait_for(lock, std::chrono::nanoseconds(time - now));
      continue;
    }
    due_.pop();
    lock.unlock();
    const auto next = AnnounceOnce(index);
    lock.lock();
    due_.emplace(testing::MonotonicNs() +
                   static_cast<std::uint64_t>(next.count()) * kNsPerMs,
                 index);
  }
}

std::string
TargetCrowd::Body(const Target& aTarget) const
{
  auto tasks = json::array();
  for (const auto& [id, lease] : aTarget.tasks_) {
    tasks.push_back(
      { { "id", id },
        { "state", "running" },
        { "lease", lease },
        { "usage",
          { { "cores", 1.0 }, { "memory_mb", 900 }, { "age_ms", 1000 } } } });
  }
  const json body{
    { "id", aTarget.id_ },
    { "incarnation", 1 },
    { "zone", aTarget.zone_ },
    { "rack", aTarget.rack_ },
    { "address", aTarget.address_ },
    { "cores", 16 },
    { "memory_mb", 32768 },
    { "slots", settings_.slots_ },
    { "connections", 64 },
    { "running", 0 },
    { "usage", { { "cores", 1.0 }, { "memory_mb", 900 }, { "age_ms", 1000 } } },
    { "epoch", aTarget.epoch_ },
    { "draining", aTarget.draining_ },
    { "tasks", tasks }
  };
  return body.dump();
}

Millis
TargetCrowd::AnnounceOnce(std::size_t aTarget)
{
  std::string body;
  std::string address;
  {
    const std::lock_guard lock(mutex_);
    const auto& target = targets_[aTarget];
    const auto& choices = settings_.announce_.at(target.zone_);
    address = choices[random_() % choices.size()];
    body = Body(target);
  }
  const auto outcome =
    testing::HttpCall(address,
                      { "POST",
                        "/v1/announce",
                        { { "Content-Type", "application/json" } },
                        body },
                      kCallTimeout);
  const std::lock_guard lock(mutex_);
  auto& totals = totals_[address];
  ++totals.count_;
  totals.bytes_ += body.size() + outcome.answer_.body_.size() + kHeadBytes;
  if (!outcome.Answered() || outcome.answer_.status_ != 200) {
    ++totals.failed_;
    return kRetryAfter;
  }
  const auto answer = json::parse(outcome.answer_.body_);
  auto& target = targets_[aTarget];
  target.pool_ = answer.value("pool", "");
  target.epoch_ =
    std::max(target.epoch_, answer.value("epoch", std::uint64_t{ 0 }));
  target.draining_ = answer.value("drain", false);
  std::map<std::string, std::uint64_t> tasks;
  for (const auto& order : answer["tasks"]) {
    if (order.value("order", "") != "checkpoint") {
      tasks[order.value("id", "")] = order.value("lease", std::uint64_t{ 0 });
    }
  }
  target.tasks_ = std::move(tasks);
  return Millis(answer.value("next_ms", std::int64_t{ 2000 }));
}

bool
TargetCrowd::Answer(testing::HttpConnection& aConnection,
                    const testing::HttpMessage& aRequest) const
{
  if (aRequest.path_.ends_with("/slow")) {
    std::this_thread::sleep_for(kSlowTime);
  }
  const auto epoch = aRequest.Header("acaciahill-epoch");
  testing::HttpHeaders headers;
  if (!epoch.empty()) {
    headers.emplace_back("Acaciahill-Epoch", epoch);
  }
  return aConnection.Send(
    testing::FormatAnswer(200, headers, "done", aRequest.method_ == "HEAD"));
}

} // namespace acaciahill::bench
