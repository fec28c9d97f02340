#include "kernel/service_registry_base.h"

namespace acaciahill {

void
ServiceRegistry::Add(std::string aName, std::unique_ptr<Service> aService)
{
  if (FindAny(aName) != nullptr) {
    throw std::logic_error("two services named " + aName);
  }
  slots_.push_back({ std::move(aName), std::move(aService) });
}

Service*
ServiceRegistry::FindAny(std::string_view aName) const
{
  for (const auto& slot : slots_) {
    if (slot.name_ == aName) {
      return slot.service_.get();
    }
  }
  return nullptr;
}

Result<Done>
ServiceRegistry::StartAll()
{
  for (; started_ < slots_.size(); ++started_) {
    auto result = slots_[started_].service_->Start();
    if (!IsOk(result)) {
      Error error = ErrorOf(result);
      error.detail_ = slots_[started_].name_ + ": " + error.detail_;
      StopAll();
      return error;
    }
  }
  return Done{};
}

void
ServiceRegistry::StopAll()
{
  while (started_ > 0) {
    --started_;
    slots_[started_].service_->Stop();
  }
}

} // namespace acaciahill
