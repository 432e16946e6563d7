#ifndef CORNELWEIR_SRC_QUOTA_QUOTA_LIMITS_H_
#define CORNELWEIR_SRC_QUOTA_QUOTA_LIMITS_H_

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::quota {

// How far the requests of a workspace may exceed its rate: in every window, at most
// (rate x window + burst) x (1 + overshoot) + slack requests run.
struct quota_limits {
  kernel::milliseconds window{5'000};
  double overshoot = 0.1;
  double slack = 20;
};

}  // namespace cornelweir::quota

#endif  // CORNELWEIR_SRC_QUOTA_QUOTA_LIMITS_H_
