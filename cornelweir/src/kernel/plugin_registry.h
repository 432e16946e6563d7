#ifndef CORNELWEIR_SRC_KERNEL_PLUGIN_REGISTRY_H_
#define CORNELWEIR_SRC_KERNEL_PLUGIN_REGISTRY_H_

#include <boost/leaf.hpp>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "cornelweir/src/kernel/plugin.h"

namespace cornelweir::kernel {

// A type-erased plug-in that can be started and shut down.
struct plugin_handle {
  std::shared_ptr<void> instance;
  std::function<void()> start;
  std::function<void(std::function<void()> done)> begin_shutdown;
};

// The plug-ins that are linked into a program, by name. Populated before main() by
// plugin_registration objects; read by the program.
template <class Context>
class plugin_registry {
 public:
  using factory = std::function<boost::leaf::result<plugin_handle>(Context&)>;

  struct entry {
    std::string_view name;
    factory create;
  };

  static plugin_registry& Instance() {
    static plugin_registry registry;
    return registry;
  }

  void Add(std::string_view name, factory create) {
    entries_.push_back(entry{name, std::move(create)});
  }

  const entry* Find(std::string_view name) const {
    for (const entry& candidate : entries_) {
      if (candidate.name == name) return &candidate;
    }
    return nullptr;
  }

  const std::vector<entry>& entries() const { return entries_; }

 private:
  std::vector<entry> entries_;
};

// Registers the plug-in T for programs with this Context. Define one namespace-scope object of this
// type in the plug-in's own source file; the program needs no other reference to the plug-in.
template <class T, class Context>
requires plugin<T, Context>
class plugin_registration {
 public:
  plugin_registration() {
    plugin_registry<Context>::Instance().Add(
        T::kName, [](Context& context) -> boost::leaf::result<plugin_handle> {
          BOOST_LEAF_AUTO(instance, T::Create(context));
          plugin_handle handle;
          handle.instance = instance;
          handle.start = [instance = instance.get()] { instance->Start(); };
          handle.begin_shutdown = [instance = instance.get()](std::function<void()> done) {
            instance->BeginShutdown(std::move(done));
          };
          return handle;
        });
  }
};

}  // namespace cornelweir::kernel

#endif  // CORNELWEIR_SRC_KERNEL_PLUGIN_REGISTRY_H_
