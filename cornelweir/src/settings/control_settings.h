#ifndef CORNELWEIR_SRC_SETTINGS_CONTROL_SETTINGS_H_
#define CORNELWEIR_SRC_SETTINGS_CONTROL_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/settings/control_peer.h"
#include "cornelweir/src/settings/quota_settings.h"

namespace cornelweir::settings {

// Settings of the plug-in "control".
struct control_settings {
  std::string data_folder;
  kernel::endpoint mesh_listen;
  // All control hosts, this one too.
  std::vector<control_peer> peers;
  // Whether a host without data founds a new group. Otherwise it joins as a learner.
  bool bootstrap = false;
  // Hosts to ask for the group, in place of a list of peers. Their ports are replaced by that of
  // mesh_listen; a host of such a group is known by its mesh endpoint.
  std::vector<kernel::endpoint> seeds;
  // How many control hosts may be lost at the same time. The group grows until it has a majority
  // without them.
  std::int64_t tolerated_losses = 1;
  // Where operators replace and read the policy, if a plug-in offers that.
  kernel::endpoint policy_listen;
  // Whether the file system keeps the inodes and birth times of files, by which a copied data
  // folder is recognized.
  bool stable_inodes = true;
  quota_settings quota;
  // How long a graceful shutdown may take, to the end of the process.
  std::int64_t shutdown_ms = 6'000;
};

}  // namespace cornelweir::settings

#endif  // CORNELWEIR_SRC_SETTINGS_CONTROL_SETTINGS_H_
