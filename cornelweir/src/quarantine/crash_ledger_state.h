#ifndef CORNELWEIR_SRC_QUARANTINE_CRASH_LEDGER_STATE_H_
#define CORNELWEIR_SRC_QUARANTINE_CRASH_LEDGER_STATE_H_

#include <map>
#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/log_time.h"
#include "cornelweir/src/quarantine/suspect.h"

namespace cornelweir::quarantine {

// The whole content of a crash ledger, for snapshots of the state machine.
struct crash_ledger_state {
  // The latest time that the ledger was told.
  kernel::log_time latest;
  std::map<kernel::fingerprint, suspect> suspects;
  // The end of each quarantine.
  std::map<kernel::fingerprint, kernel::log_time> quarantined;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"latest", &crash_ledger_state::latest},
                      kernel::field{"suspects", &crash_ledger_state::suspects},
                      kernel::field{"quarantined", &crash_ledger_state::quarantined}};
  }
  friend bool operator==(const crash_ledger_state&, const crash_ledger_state&) = default;
};

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_CRASH_LEDGER_STATE_H_
