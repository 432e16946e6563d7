#ifndef CORNELWEIR_SRC_QUARANTINE_CRASH_TRACKER_STATE_H_
#define CORNELWEIR_SRC_QUARANTINE_CRASH_TRACKER_STATE_H_

#include <map>
#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/log_time.h"
#include "cornelweir/src/quarantine/suspect.h"

namespace cornelweir::quarantine {

// The complete state of a crash tracker, for snapshots of the state machine.
struct crash_tracker_state {
  // The latest time passed to the tracker.
  kernel::log_time latest_time;
  std::map<kernel::fingerprint, suspect> suspects;
  // The end of the quarantine of each quarantined request.
  std::map<kernel::fingerprint, kernel::log_time> quarantined;
  // The services of those whose service is known.
  std::map<kernel::fingerprint, kernel::service_name> services;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"latest", &crash_tracker_state::latest_time},
                      kernel::field{"suspects", &crash_tracker_state::suspects},
                      kernel::field{"quarantined", &crash_tracker_state::quarantined},
                      kernel::field{"services", &crash_tracker_state::services}};
  }
  friend bool operator==(const crash_tracker_state&, const crash_tracker_state&) = default;
};

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_CRASH_TRACKER_STATE_H_
