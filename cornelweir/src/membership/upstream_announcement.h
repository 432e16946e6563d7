#ifndef CORNELWEIR_SRC_MEMBERSHIP_UPSTREAM_ANNOUNCEMENT_H_
#define CORNELWEIR_SRC_MEMBERSHIP_UPSTREAM_ANNOUNCEMENT_H_

#include <cstdint>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::membership {

// What an upstream says of itself to the daemon beside it.
struct upstream_announcement {
  kernel::upstream_id id;
  kernel::endpoint address;
  kernel::service_name service;
  // Requests that it processes at the same time.
  std::int64_t slots = 0;
  bool draining = false;
  // How much longer it is slow after its start.
  kernel::milliseconds warm_up{};
  // The start of its process, in milliseconds since 1970, and the number of this announcement.
  // Later ones replace earlier ones, whatever the order in which they arrive.
  kernel::incarnation started_at;
  std::uint64_t sequence = 0;
};

}  // namespace cornelweir::membership

#endif  // CORNELWEIR_SRC_MEMBERSHIP_UPSTREAM_ANNOUNCEMENT_H_
