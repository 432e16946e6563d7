#ifndef CORNELWEIR_SRC_QUARANTINE_CRASH_REPORT_H_
#define CORNELWEIR_SRC_QUARANTINE_CRASH_REPORT_H_

#include <tuple>
#include <vector>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::quarantine {

// A crash of an upstream process and the requests that may have caused it.
struct crash_report {
  kernel::upstream_id upstream;
  kernel::incarnation process;
  std::vector<kernel::fingerprint> requests;
  // See crash_suspects.
  std::vector<kernel::fingerprint> resent = {};

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"upstream", &crash_report::upstream},
                      kernel::field{"process", &crash_report::process},
                      kernel::field{"requests", &crash_report::requests},
                      kernel::field{"resent", &crash_report::resent}};
  }
  friend bool operator==(const crash_report&, const crash_report&) = default;
};

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_CRASH_REPORT_H_
