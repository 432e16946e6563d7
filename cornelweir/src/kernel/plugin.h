#ifndef CORNELWEIR_SRC_KERNEL_PLUGIN_H_
#define CORNELWEIR_SRC_KERNEL_PLUGIN_H_

#include <concepts>
#include <functional>
#include <string_view>

namespace cornelweir::kernel {

// A part of the daemon that is switched on by its name in the settings. Context is what the
// program hands to every plug-in: its loop, clock, random source and settings.
//
// Create() checks the settings and returns a leaf::result of a shared pointer to the plug-in.
// Start() begins to listen and to connect. BeginShutdown(done) stops taking new work, lets work in
// progress end and then calls done once.
template <class T, class Context>
concept plugin = requires(T& instance, Context& context, std::function<void()> done) {
  { T::kName } -> std::convertible_to<std::string_view>;
  T::Create(context);
  instance.Start();
  instance.BeginShutdown(done);
};

}  // namespace cornelweir::kernel

#endif  // CORNELWEIR_SRC_KERNEL_PLUGIN_H_
