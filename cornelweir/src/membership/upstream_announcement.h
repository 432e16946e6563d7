#ifndef CORNELWEIR_SRC_MEMBERSHIP_UPSTREAM_ANNOUNCEMENT_H_
#define CORNELWEIR_SRC_MEMBERSHIP_UPSTREAM_ANNOUNCEMENT_H_

#include <cstdint>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::membership {

// What an upstream reports about itself to the daemon on its host.
struct upstream_announcement {
  kernel::upstream_id id;
  kernel::endpoint address;
  kernel::service_name service;
  // Of its software; empty if unknown.
  kernel::software_version version;
  // Requests that it processes concurrently.
  std::int64_t slots = 0;
  bool draining = false;
  // Remaining time for which it is slow after its start.
  kernel::milliseconds warm_up{};
  // The start of its process in milliseconds since 1970, and the number of this announcement. An
  // announcement replaces those with smaller values, in whatever order they arrive.
  kernel::incarnation started_at;
  std::uint64_t sequence = 0;
};

}  // namespace cornelweir::membership

#endif  // CORNELWEIR_SRC_MEMBERSHIP_UPSTREAM_ANNOUNCEMENT_H_
