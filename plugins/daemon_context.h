#ifndef CORNELWEIR_PLUGINS_DAEMON_CONTEXT_H_
#define CORNELWEIR_PLUGINS_DAEMON_CONTEXT_H_

#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/metrics.h"
#include "cornelweir/settings.h"
#include "cornelweir/transport.h"
#include "plugins/policy_port.h"

namespace cornelweir::plugins {

// What the daemon hands to each of its plug-ins. All of it outlives them.
struct daemon_context {
  loop::event_loop& loop;
  const settings::daemon_settings& settings;
  http::admin_server& admin;
  metrics::metrics_registry& metrics;
  kernel::seeded_random& random;
  const kernel::steady_clock_source& clock;
  // Null if the settings switch TLS off.
  transport::tls_context tls;
  // Set by the plug-in that keeps the policy, for those after it in the settings.
  policy_port policy = {};
};

// Why a plug-in can't be created.
struct plugin_error {
  std::string reason;
};

// A plug-in of the daemon registers itself by one object of this type.
template <class T>
using daemon_plugin_registration = kernel::plugin_registration<T, daemon_context>;

using daemon_plugin_registry = kernel::plugin_registry<daemon_context>;

}  // namespace cornelweir::plugins

#endif  // CORNELWEIR_PLUGINS_DAEMON_CONTEXT_H_
