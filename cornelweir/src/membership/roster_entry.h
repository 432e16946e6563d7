#ifndef CORNELWEIR_SRC_MEMBERSHIP_ROSTER_ENTRY_H_
#define CORNELWEIR_SRC_MEMBERSHIP_ROSTER_ENTRY_H_

#include <cstdint>
#include <optional>
#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/membership/announced_upstream.h"

namespace cornelweir::membership {

// A daemon and the service of the upstream on its host. Other daemons do not get the state of the
// upstream from it: the daemon reports that to them itself.
struct roster_entry {
  // The address at which other daemons reach it.
  kernel::endpoint daemon;
  kernel::failure_domain failure_domain;
  kernel::service_name service;
  // The start of the daemon's process, and the number of this report since then. A report replaces
  // those with smaller values.
  kernel::incarnation incarnation;
  std::uint64_t sequence = 0;
  // The daemon is shutting down.
  bool leaving = false;
  // Only for the control hosts and for this daemon after a restart. Empty if its process has not
  // received an announcement yet.
  std::optional<announced_upstream> upstream;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"daemon", &roster_entry::daemon},
                      kernel::field{"domain", &roster_entry::failure_domain},
                      kernel::field{"service", &roster_entry::service},
                      kernel::field{"incarnation", &roster_entry::incarnation},
                      kernel::field{"sequence", &roster_entry::sequence},
                      kernel::field{"leaving", &roster_entry::leaving},
                      kernel::field{"upstream", &roster_entry::upstream}};
  }
  friend bool operator==(const roster_entry&, const roster_entry&) = default;

  // Whether two reports of a daemon are equal for other daemons, apart from their numbers.
  bool HasSameContentAs(const roster_entry& other) const {
    return failure_domain == other.failure_domain && service == other.service &&
           leaving == other.leaving && incarnation == other.incarnation;
  }
};

}  // namespace cornelweir::membership

#endif  // CORNELWEIR_SRC_MEMBERSHIP_ROSTER_ENTRY_H_
