#ifndef CORNELWEIR_SRC_REPLICATION_PEER_STATUS_H_
#define CORNELWEIR_SRC_REPLICATION_PEER_STATUS_H_

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::replication {

// The state of another host of the group as its leader knows it.
struct peer_status {
  kernel::host_id host;
  kernel::microseconds time_since_contact{};
  // The host has replied in this term from its recorded disk, and its log is at most
  // kMaxPromotionLag committed entries behind.
  bool caught_up = false;
};

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_PEER_STATUS_H_
