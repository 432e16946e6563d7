#ifndef CORNELWEIR_SRC_REPLICATION_NEXT_CONFIGURATION_H_
#define CORNELWEIR_SRC_REPLICATION_NEXT_CONFIGURATION_H_

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/replication/group_configuration.h"
#include "cornelweir/src/replication/group_target.h"
#include "cornelweir/src/replication/peer_status.h"

namespace cornelweir::replication {

// Returns the number of voters that a group needs for a majority to survive the given number of
// lost hosts.
constexpr std::size_t RequiredVoterCount(std::size_t tolerated_losses) {
  return 2 * tolerated_losses + 1;
}

// Returns the next configuration by which a leader grows its group, replaces lost voters and
// removes lost hosts without an operator. Empty if no change is needed. Each step changes at most
// one voter:
// - a host that asked to join becomes a learner;
// - a learner that has caught up becomes a voter while there are fewer voters than the target;
// - while the group is being founded, a learner that has been silent for kFoundingSilence becomes a
//   voter too if the voters that are heard from remain a majority without it;
// - a voter without contact for kVoterReplacementTimeout is removed if a learner can replace it or
//   if there are more voters than the target;
// - a learner without contact for kLearnerRemovalTimeout is removed, unless it is a former voter
//   with a replaced disk.
std::optional<group_configuration> NextConfiguration(const group_configuration& current,
                                                     const std::vector<peer_status>& peers,
                                                     const std::set<kernel::host_id>& joining_hosts,
                                                     const group_target& target);

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_NEXT_CONFIGURATION_H_
