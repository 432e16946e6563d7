#ifndef CORNELWEIR_SRC_REPLICATION_FOUNDING_H_
#define CORNELWEIR_SRC_REPLICATION_FOUNDING_H_

#include <cstddef>
#include <vector>

#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::replication {

// Returns the voters with which a new group begins: as many of the seeds as the group needs, and an
// odd number, since an even one tolerates no more failures than one voter less. All hosts compute
// the same voters from the same seeds in any order, so a majority of them founds the group without
// the others, and two groups can't form.
std::vector<kernel::host_id> InitialVoters(std::vector<kernel::host_id> seeds,
                                           std::size_t required_voters);

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_FOUNDING_H_
