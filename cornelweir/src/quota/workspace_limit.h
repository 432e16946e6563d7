#ifndef CORNELWEIR_SRC_QUOTA_WORKSPACE_LIMIT_H_
#define CORNELWEIR_SRC_QUOTA_WORKSPACE_LIMIT_H_

#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/quota/quota_limits.h"

namespace cornelweir::quota {

// The limit of one workspace over all daemons. The rate is greater than 0.
struct workspace_limit {
  kernel::request_rate rate;
  kernel::request_amount burst;

  // The number of tokens that a full bucket holds.
  double Capacity() const;
  // How long a daemon may use a token of this workspace.
  kernel::microseconds TokenLifetime(const quota_limits& limits) const;
  // The number of tokens that the reserves of all control hosts may hold together.
  std::int64_t MaxReserve(const quota_limits& limits) const;

  friend bool operator==(const workspace_limit&, const workspace_limit&) = default;
};

}  // namespace cornelweir::quota

#endif  // CORNELWEIR_SRC_QUOTA_WORKSPACE_LIMIT_H_
