#ifndef CORNELWEIR_SRC_QUARANTINE_QUARANTINED_FINGERPRINT_H_
#define CORNELWEIR_SRC_QUARANTINE_QUARANTINED_FINGERPRINT_H_

#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/log_time.h"

namespace cornelweir::quarantine {

// A request that daemons refuse until the given log time. The service is that of the upstreams it
// crashed, or empty if it is not known.
struct quarantined_fingerprint {
  kernel::fingerprint request;
  kernel::log_time until;
  kernel::service_name service;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"request", &quarantined_fingerprint::request},
                      kernel::field{"until", &quarantined_fingerprint::until},
                      kernel::field{"service", &quarantined_fingerprint::service}};
  }
  friend bool operator==(const quarantined_fingerprint&, const quarantined_fingerprint&) = default;
};

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_QUARANTINED_FINGERPRINT_H_
