#ifndef CORNELWEIR_SRC_REPLICATION_VOTER_CONTACT_H_
#define CORNELWEIR_SRC_REPLICATION_VOTER_CONTACT_H_

#include <optional>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::replication {

// A voter that a host counts, and the time since the host received its last message. The age is
// zero for the host itself, and empty for a voter that it never heard from.
struct voter_contact {
  kernel::host_id host;
  std::optional<kernel::microseconds> age;

  friend bool operator==(const voter_contact&, const voter_contact&) = default;
};

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_VOTER_CONTACT_H_
