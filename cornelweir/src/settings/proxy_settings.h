#ifndef CORNELWEIR_SRC_SETTINGS_PROXY_SETTINGS_H_
#define CORNELWEIR_SRC_SETTINGS_PROXY_SETTINGS_H_

#include <cstdint>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/settings/limits.h"

namespace cornelweir::settings {

// Settings of the plug-in "proxy".
struct proxy_settings {
  // The service of the upstream on this host.
  kernel::service_name service;
  kernel::endpoint data_listen;
  // Child daemons subscribe here.
  kernel::endpoint mesh_listen;
  // The mesh endpoints of the control hosts.
  std::vector<kernel::endpoint> control_hosts;
  std::int64_t max_body_bytes = kDefaultMaxBodyBytes;
  std::int64_t drain_ms = kDefaultDrainMs;
  std::int64_t max_connections_per_peer = kDefaultConnectionsPerPeer;
};

}  // namespace cornelweir::settings

#endif  // CORNELWEIR_SRC_SETTINGS_PROXY_SETTINGS_H_
