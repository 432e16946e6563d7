#ifndef CORNELWEIR_PLUGINS_DAEMON_CONTEXT_H_
#define CORNELWEIR_PLUGINS_DAEMON_CONTEXT_H_

#include <memory>

#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/memory.h"
#include "cornelweir/metrics.h"
#include "cornelweir/settings.h"
#include "cornelweir/transport.h"
#include "plugins/policy_port.h"
#include "plugins/rollout_port.h"

namespace cornelweir::plugins {

// The objects that the daemon passes to each of its plug-ins. They outlive the plug-ins.
struct daemon_context {
  loop::event_loop& loop;
  const settings::daemon_settings& settings;
  http::admin_server& admin;
  metrics::metrics_registry& metrics;
  kernel::seeded_random& random;
  const kernel::steady_clock_source& clock;
  const loop::pause_tracker& pauses;
  // Null if the settings switch TLS off.
  transport::tls_context tls;
  // The bytes that the process holds for others.
  std::shared_ptr<memory::memory_account> memory = std::make_shared<memory::memory_account>(
      memory::memory_account::LimitFor(memory::kDefaultMemoryMb));
  // Set by the control plug-in, for the plug-ins that follow it in the settings.
  policy_port policy = {};
  rollout_port rollouts = {};
  // When the loop is stopped, whatever is in progress. Known once the shutdown begins.
  kernel::time_point stop_at = kernel::time_point::max();
};

// The error of a plug-in that can't be created.
struct plugin_error {
  std::string reason;
};

// Registers a plug-in of the daemon. Each plug-in defines one static object of this type.
template <class T>
using daemon_plugin_registration = kernel::plugin_registration<T, daemon_context>;

using daemon_plugin_registry = kernel::plugin_registry<daemon_context>;

}  // namespace cornelweir::plugins

#endif  // CORNELWEIR_PLUGINS_DAEMON_CONTEXT_H_
