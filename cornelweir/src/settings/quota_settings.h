#ifndef CORNELWEIR_SRC_SETTINGS_QUOTA_SETTINGS_H_
#define CORNELWEIR_SRC_SETTINGS_QUOTA_SETTINGS_H_

#include <cstdint>

namespace cornelweir::settings {

// How far the requests of a workspace may exceed its rate: in every window, at most
// (rate x window + burst) x (1 + overshoot) + slack requests run.
struct quota_settings {
  std::int64_t window_ms = 5'000;
  double overshoot = 0.1;
  double slack = 20;
};

}  // namespace cornelweir::settings

#endif  // CORNELWEIR_SRC_SETTINGS_QUOTA_SETTINGS_H_
