#ifndef CORNELWEIR_SRC_REPLICATION_GROUP_KEEPER_H_
#define CORNELWEIR_SRC_REPLICATION_GROUP_KEEPER_H_

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/replication/group_configuration.h"
#include "cornelweir/src/replication/peer_status.h"

namespace cornelweir::replication {

// The voters that a group needs so that a majority survives the loss of this many hosts.
constexpr std::size_t VotersToTolerate(std::size_t lost_hosts) { return 2 * lost_hosts + 1; }

// The next step by which a leader lets its group grow, replaces lost voters and forgets hosts that
// are gone, without an operator. Empty if the group is as it should be. Each step changes at most
// one voter:
// - a host that asked to join becomes a learner;
// - a learner that is caught up becomes a voter while there are too few;
// - a voter that is silent gives up its place while a learner is ready to take it;
// - a learner that is silent for long is forgotten.
std::optional<group_configuration> NextConfiguration(const group_configuration& current,
                                                     const std::vector<peer_status>& peers,
                                                     const std::set<kernel::host_id>& applicants,
                                                     std::size_t wanted_voters);

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_GROUP_KEEPER_H_
