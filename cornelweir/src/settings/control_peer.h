#ifndef CORNELWEIR_SRC_SETTINGS_CONTROL_PEER_H_
#define CORNELWEIR_SRC_SETTINGS_CONTROL_PEER_H_

#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::settings {

// Where one control host is reached, by other control hosts and by operators.
struct control_peer {
  kernel::host_id host;
  kernel::endpoint mesh;
  kernel::endpoint admin;
};

}  // namespace cornelweir::settings

#endif  // CORNELWEIR_SRC_SETTINGS_CONTROL_PEER_H_
