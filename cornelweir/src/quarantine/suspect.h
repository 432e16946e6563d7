#ifndef CORNELWEIR_SRC_QUARANTINE_SUSPECT_H_
#define CORNELWEIR_SRC_QUARANTINE_SUSPECT_H_

#include <cstdint>
#include <tuple>
#include <vector>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/log_time.h"
#include "cornelweir/src/quarantine/upstream_crash.h"

namespace cornelweir::quarantine {

// The recorded crashes at which a request was in progress.
struct suspect {
  // The latest crashes, at most kMaxStoredCrashes.
  std::vector<upstream_crash> crashes;
  // The sum of the evidence of all crashes; see kEvidencePerCrash.
  std::int64_t evidence = 0;
  kernel::log_time last_crash;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"crashes", &suspect::crashes},
                      kernel::field{"evidence", &suspect::evidence},
                      kernel::field{"last_crash", &suspect::last_crash}};
  }
  friend bool operator==(const suspect&, const suspect&) = default;
};

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_SUSPECT_H_
