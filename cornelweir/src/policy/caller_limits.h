#ifndef CORNELWEIR_SRC_POLICY_CALLER_LIMITS_H_
#define CORNELWEIR_SRC_POLICY_CALLER_LIMITS_H_

#include <cstdint>
#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::policy {

// Limits on the size and duration of what callers send.
struct caller_limits {
  std::int64_t max_header_bytes = 16'384;
  std::int64_t max_body_bytes = 1'048'576;
  // Maximum time from the first byte of a request to the end of its header.
  kernel::milliseconds header_timeout{10'000};
  // Maximum time that a connection may be idle between two requests.
  kernel::milliseconds idle_timeout{60'000};

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"max_header_bytes", &caller_limits::max_header_bytes},
                      kernel::field{"max_body_bytes", &caller_limits::max_body_bytes},
                      kernel::field{"header_timeout_ms", &caller_limits::header_timeout},
                      kernel::field{"idle_timeout_ms", &caller_limits::idle_timeout}};
  }
  friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_CALLER_LIMITS_H_
