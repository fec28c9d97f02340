#pragma once

#include "kernel/error_type.h"

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace acaciahill {

/// A component of the daemon that the registry starts and stops. Services hold
/// no pointers to each other before Start(), where they look up their
/// dependencies by name.
class Service
{
public:
  Service() = default;
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;
  virtual ~Service() = default;

  /// Starts the service. On an error the daemon stops the services that are
  /// already running and exits.
  virtual Result<Done> Start() = 0;

  /// Stops the service gracefully: returns when the work in flight has
  /// finished.
  virtual void Stop() = 0;
};

/// The micro-kernel: owns the services of a process, finds them by name, starts
/// them in the order in which they were added and stops them in reverse.
class ServiceRegistry
{
public:
  /// Adds a service. Throws std::logic_error when the name is already in use.
  void Add(std::string aName, std::unique_ptr<Service> aService);

  /// Finds a service by name and checks its type. Throws std::logic_error when
  /// it is missing or of another type, which is a programming error.
  template<typename T>
  T& Find(std::string_view aName) const
  {
    auto* service = dynamic_cast<T*>(FindAny(aName));
    if (service == nullptr) {
      throw std::logic_error("no service of this type named " +
                             std::string(aName));
    }
    return *service;
  }

  /// Starts all services. When one fails, those already started are stopped
  /// and its error is returned with the service's name.
  Result<Done> StartAll();

  /// Stops all started services in reverse order.
  void StopAll();

private:
  struct Slot
  {
    std::string name_;
    std::unique_ptr<Service> service_;
  };

  Service* FindAny(std::string_view aName) const;

  std::vector<Slot> slots_;
  std::size_t started_ = 0;
};

} // namespace acaciahill
