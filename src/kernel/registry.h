#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <typeinfo>
#include <vector>

#include "absl/status/status.h"

namespace dandelion::kernel {

/// The daemon's services by name. A service is started after those that were
/// added before it, and stopped before them.
class Registry {
 public:
  struct Hooks {
    std::function<absl::Status()> start;
    std::function<void()> stop;
  };

  /// Adds `service`, which must outlive the registry.
  template <typename Service>
  void Add(std::string name, Service* service, Hooks hooks = {}) {
    entries_.push_back(
        Entry{std::move(name), service, &typeid(Service), std::move(hooks)});
  }

  /// The service called `name`. Throws `std::logic_error` if there is none of
  /// that name and type: the daemon is wired wrongly.
  template <typename Service>
  Service& Get(std::string_view name) const {
    for (const Entry& entry : entries_) {
      if (entry.name == name && *entry.type == typeid(Service)) {
        return *static_cast<Service*>(entry.service);
      }
    }
    throw std::logic_error("no service is called " + std::string(name));
  }

  /// Starts all services in order; stops the started ones if one fails.
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
