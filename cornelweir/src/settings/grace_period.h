#ifndef CORNELWEIR_SRC_SETTINGS_GRACE_PERIOD_H_
#define CORNELWEIR_SRC_SETTINGS_GRACE_PERIOD_H_

#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/settings/daemon_settings.h"

namespace cornelweir::settings {

// The time from a request to stop to the end of the process: the longest of those of its roles.
kernel::milliseconds GracePeriod(const daemon_settings& settings);

}  // namespace cornelweir::settings

#endif  // CORNELWEIR_SRC_SETTINGS_GRACE_PERIOD_H_
