#include "cornelweir/src/settings/grace_period.h"

#include <algorithm>
#include <string_view>

#include "cornelweir/src/shutdown/limits.h"

namespace cornelweir::settings {
namespace {

bool UsesPlugin(const daemon_settings& settings, std::string_view name) {
  return std::find(settings.plugins.begin(), settings.plugins.end(), name) !=
         settings.plugins.end();
}

}  // namespace

// A section of a plug-in that is not used has no effect. Several plug-ins use the section sidecar.
kernel::milliseconds GracePeriod(const daemon_settings& settings) {
  kernel::milliseconds longest{};
  if (settings.sidecar) longest = kernel::milliseconds(settings.sidecar->shutdown_ms);
  if (settings.control && UsesPlugin(settings, "control")) {
    longest = std::max(longest, kernel::milliseconds(settings.control->shutdown_ms));
  }
  if (settings.proxy && UsesPlugin(settings, "proxy")) {
    longest =
        std::max(longest, kernel::milliseconds(settings.proxy->drain_ms) + shutdown::kProxyReserve);
  }
  return longest;
}

}  // namespace cornelweir::settings
