#ifndef CORNELWEIR_SRC_SETTINGS_SIDECAR_SETTINGS_H_
#define CORNELWEIR_SRC_SETTINGS_SIDECAR_SETTINGS_H_

#include <cstdint>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/settings/quota_settings.h"

namespace cornelweir::settings {

// Settings of a plug-in that serves callers and one upstream by a policy that is replaced as a
// whole.
struct sidecar_settings {
  // The service of the upstream on this host, and its address.
  kernel::service_name service;
  kernel::endpoint upstream;
  // Where callers on this host send requests.
  kernel::endpoint callers_listen;
  // Where other daemons reach this one.
  kernel::endpoint peers_listen;
  // Where the platform asks whether the daemon is ready.
  kernel::endpoint readiness_listen;
  // Where the upstream announces itself.
  kernel::endpoint announce_listen;
  // Control hosts to begin with. Their ports are replaced by control_port.
  std::vector<kernel::endpoint> seeds;
  std::int64_t control_port = 0;
  // Requests that all daemons together may send again, as a share of those that arrived for the
  // service within the window, plus a constant.
  double retry_ratio = 0.1;
  std::int64_t retry_window_ms = 10'000;
  double retry_slack = 10;
  // Whether keys of callers count only while the policy is known to be the newest: a daemon to
  // which no control host has confirmed it for max_policy_age refuses requests that need a key.
  bool strict_key_revocation = false;
  kernel::milliseconds max_policy_age{5'000};
  quota_settings quota;
  // How long a graceful shutdown may take, to the end of the process.
  std::int64_t shutdown_ms = 6'000;
};

}  // namespace cornelweir::settings

#endif  // CORNELWEIR_SRC_SETTINGS_SIDECAR_SETTINGS_H_
