#include "cornelweir/src/settings/grace_period.h"

#include <algorithm>
#include <string_view>

namespace cornelweir::settings {
namespace {

// A proxy has no setting for it: it waits for the requests in progress, which time out sooner.
constexpr kernel::milliseconds kProxyGracePeriod{120'000};

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
  if (UsesPlugin(settings, "proxy")) longest = std::max(longest, kProxyGracePeriod);
  return longest;
}

}  // namespace cornelweir::settings
