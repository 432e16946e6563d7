#ifndef CORNELWEIR_SRC_REPLICATION_PEER_STATUS_H_
#define CORNELWEIR_SRC_REPLICATION_PEER_STATUS_H_

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::replication {

// Another host of the group as its leader sees it.
struct peer_status {
  kernel::host_id host;
  kernel::microseconds silent_for{};
  // Heard in this term, on the recorded disk, and holding nearly everything that is committed.
  bool caught_up = false;
};

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_PEER_STATUS_H_
