#ifndef CORNELWEIR_SRC_SETTINGS_DAEMON_SETTINGS_H_
#define CORNELWEIR_SRC_SETTINGS_DAEMON_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/memory/limits.h"
#include "cornelweir/src/settings/control_settings.h"
#include "cornelweir/src/settings/proxy_settings.h"
#include "cornelweir/src/settings/sidecar_settings.h"
#include "cornelweir/src/settings/tls_settings.h"

namespace cornelweir::settings {

// The settings of a daemon, read at its start. docs/SETTINGS.md describes each key.
struct daemon_settings {
  kernel::host_id host;
  kernel::failure_domain failure_domain;
  std::string region;
  kernel::endpoint admin_listen;
  std::vector<std::string> plugins;
  std::optional<control_settings> control;
  std::optional<proxy_settings> proxy;
  std::optional<sidecar_settings> sidecar;
  tls_settings tls;
  // Memory of the host that this process may use, in MB.
  std::int64_t memory_mb = memory::kDefaultMemoryMb;
  // Links without TLS are allowed off loopback: the network is trusted as a whole.
  bool trusted_network = false;
};

}  // namespace cornelweir::settings

#endif  // CORNELWEIR_SRC_SETTINGS_DAEMON_SETTINGS_H_
