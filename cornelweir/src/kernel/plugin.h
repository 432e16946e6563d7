#ifndef CORNELWEIR_SRC_KERNEL_PLUGIN_H_
#define CORNELWEIR_SRC_KERNEL_PLUGIN_H_

#include <concepts>
#include <functional>
#include <string_view>

namespace cornelweir::kernel {

// A part of the daemon that the settings enable by name. Context is what the program passes to
// every plug-in: its event loop, clock, random source and settings.
//
// Create() checks the settings and returns a leaf::result of a shared pointer to the plug-in.
// Start() begins to listen and to connect. BeginShutdown(done) rejects new work, waits for work in
// progress to finish and then calls done once.
template <class T, class Context>
concept plugin = requires(T& instance, Context& context, std::function<void()> done) {
  { T::kName } -> std::convertible_to<std::string_view>;
  T::Create(context);
  instance.Start();
  instance.BeginShutdown(done);
};

}  // namespace cornelweir::kernel

#endif  // CORNELWEIR_SRC_KERNEL_PLUGIN_H_
