#ifndef CORNELWEIR_PLUGINS_CONTROL_SEED_GROUP_H_
#define CORNELWEIR_PLUGINS_CONTROL_SEED_GROUP_H_

#include <cstddef>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/settings.h"

// What the settings of a control host say about its group if they name seeds.
namespace cornelweir::plugins::control::internal {

// Returns the mesh endpoint of a seed: its address with the port that all control hosts use.
kernel::host_id MeshHost(const kernel::endpoint& seed, const kernel::endpoint& own_mesh);

// Returns the number of voters with which the group survives the tolerated losses.
std::size_t RequiredVoters(const settings::control_settings& settings);

// Returns the voters with which a group that the seeds found begins.
std::vector<kernel::host_id> InitialVoters(const settings::control_settings& settings);

}  // namespace cornelweir::plugins::control::internal

#endif  // CORNELWEIR_PLUGINS_CONTROL_SEED_GROUP_H_
