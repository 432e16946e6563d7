#include "plugins/control/seed_group.h"

#include <utility>

#include "cornelweir/replication.h"

namespace cornelweir::plugins::control::internal {

kernel::host_id MeshHost(const kernel::endpoint& seed, const kernel::endpoint& own_mesh) {
  return kernel::host_id(settings::WithPort(seed, settings::PortOf(own_mesh)).value());
}

std::size_t RequiredVoters(const settings::control_settings& settings) {
  return replication::RequiredVoterCount(static_cast<std::size_t>(settings.tolerated_losses));
}

std::vector<kernel::host_id> InitialVoters(const settings::control_settings& settings) {
  std::vector<kernel::host_id> seeds;
  for (const kernel::endpoint& seed : settings.seeds) {
    seeds.push_back(MeshHost(seed, settings.mesh_listen));
  }
  return replication::InitialVoters(std::move(seeds), RequiredVoters(settings));
}

}  // namespace cornelweir::plugins::control::internal
