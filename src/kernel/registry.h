#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <typeinfo>
#include <vector>

#include "absl/status/status.h"

namespace dandelion::kernel {

/// The services of a daemon, by name. Starts them in the order in which they
/// were added and stops them in reverse order.
class Registry {
 public:
  /// How a service is started and stopped; either function may be empty.
  struct Hooks {
    std::function<absl::Status()> start;
    std::function<void()> stop;
  };

  /// Adds `service`, which the registry does not own. It must outlive the
  /// registry.
  template <typename Service>
  void Add(std::string name, Service* service, Hooks hooks = {}) {
    entries_.push_back(
        Entry{std::move(name), service, &typeid(Service), std::move(hooks)});
  }

  /// Returns the service called `name`. Throws `std::logic_error` if no service
  /// of that name and type was added, which is a programming error.
  template <typename Service>
  Service& Get(std::string_view name) const {
    for (const Entry& entry : entries_) {
      if (entry.name == name && *entry.type == typeid(Service)) {
        return *static_cast<Service*>(entry.service);
      }
    }
    throw std::logic_error("no service of the requested type is called " +
                           std::string(name));
  }

  /// Starts all services in order. If one fails, stops those already started
  /// and returns its error.
  absl::Status Start();
  /// Stops the started services in reverse order.
  void Stop();

 private:
  struct Entry {
    std::string name;
    void* service;
    const std::type_info* type;
    Hooks hooks;
  };

  std::vector<Entry> entries_;
  size_t started_ = 0;
};

}  // namespace dandelion::kernel
