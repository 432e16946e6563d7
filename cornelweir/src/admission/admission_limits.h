#ifndef CORNELWEIR_SRC_ADMISSION_ADMISSION_LIMITS_H_
#define CORNELWEIR_SRC_ADMISSION_ADMISSION_LIMITS_H_

#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/table/rows.h"

namespace cornelweir::admission {

// The limits that the table sets for the requests of one upstream.
struct admission_limits {
  kernel::request_count upstream_in_flight;
  kernel::request_count workspace_in_flight;
  kernel::request_count queue_length;
  kernel::microseconds queue_wait{};

  // Combines the limit row and the wait row of the upstream's service.
  static admission_limits From(const table::limit_row& limit, const table::wait_row& wait) {
    return {limit.upstream_in_flight, limit.workspace_in_flight, limit.queue_length,
            kernel::milliseconds(wait.queue_ms)};
  }
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_ADMISSION_LIMITS_H_
