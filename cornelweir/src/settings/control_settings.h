#ifndef CORNELWEIR_SRC_SETTINGS_CONTROL_SETTINGS_H_
#define CORNELWEIR_SRC_SETTINGS_CONTROL_SETTINGS_H_

#include <string>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/settings/control_peer.h"

namespace cornelweir::settings {

// Settings of the plug-in "control".
struct control_settings {
  std::string data_folder;
  kernel::endpoint mesh_listen;
  // All control hosts, this one too.
  std::vector<control_peer> peers;
  // Whether a host without data founds a new group. Otherwise it joins as a learner.
  bool bootstrap = false;
};

}  // namespace cornelweir::settings

#endif  // CORNELWEIR_SRC_SETTINGS_CONTROL_SETTINGS_H_
