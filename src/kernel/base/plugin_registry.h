/** \file
 * The registry through which plug-ins are found by name.
 */
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/base/error.h"

namespace eelgrass {

/**
 * Factories of one abstract interface, by name. A plug-in registers itself during static
 * initialisation with a plugin_registration. What a factory builds receives its dependencies
 * through its constructor.
 */
template <typename Interface, typename... Dependencies>
class plugin_registry {
 public:
  using factory = std::unique_ptr<Interface> (*)(Dependencies...);

  static plugin_registry& Instance() {
    static plugin_registry registry;
    return registry;
  }

  void Register(std::string_view name, factory make) { factories_[std::string(name)] = make; }

  /** Builds the named plug-in; an unknown name is an error that lists the names there are. */
  result<std::unique_ptr<Interface>> Create(std::string_view name,
                                            Dependencies... dependencies) const {
    const auto found = factories_.find(name);
    if (found == factories_.end()) return Missing(name);
    return found->second(std::forward<Dependencies>(dependencies)...);
  }

  std::vector<std::string> names() const {
    std::vector<std::string> all;
    for (const auto& [name, make] : factories_) all.push_back(name);
    return all;
  }

 private:
  auto Missing(std::string_view name) const {
    std::string detail = "no plug-in named '" + std::string(name) + "'; there are:";
    for (const auto& [known, make] : factories_) detail += " " + known;
    return Fail(error_kind::kInvalid, "find-plugin", "", detail);
  }

  std::map<std::string, factory, std::less<>> factories_;
};

/** A static object of this type registers Implementation under a name. */
template <typename Registry, typename Interface, typename Implementation, typename... Dependencies>
struct plugin_registration {
  explicit plugin_registration(std::string_view name) {
    Registry::Instance().Register(name, [](Dependencies... dependencies) {
      return std::unique_ptr<Interface>(
          std::make_unique<Implementation>(std::forward<Dependencies>(dependencies)...));
    });
  }
};

}  // namespace eelgrass
