#ifndef CORNELWEIR_SRC_ROLLOUT_ACTIVE_SUBSET_H_
#define CORNELWEIR_SRC_ROLLOUT_ACTIVE_SUBSET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::rollout {

// Returns the indexes of the daemons to which the requests for the target are sent now. Their
// number is the share of all of them, so that each gets the load that it will have when the target
// gets all requests: a version that is bad only under load shows that at the first step. Daemons
// that pass the same period choose the same subset, and each period has another one, so that the
// evidence comes from many upstreams.
std::vector<std::size_t> ActiveSubset(const std::vector<kernel::endpoint>& daemons,
                                      kernel::traffic_share share, std::uint64_t period);

}  // namespace cornelweir::rollout

#endif  // CORNELWEIR_SRC_ROLLOUT_ACTIVE_SUBSET_H_
