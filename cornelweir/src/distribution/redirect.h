#ifndef CORNELWEIR_SRC_DISTRIBUTION_REDIRECT_H_
#define CORNELWEIR_SRC_DISTRIBUTION_REDIRECT_H_

#include <cstdint>
#include <string_view>
#include <tuple>
#include <vector>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::distribution {

// Sends a subscriber to other publishers. The sender no longer serves it.
struct redirect {
  static constexpr std::string_view kType = "redirect";

  // Publishers to subscribe to, in order of preference. If empty, any control host.
  std::vector<kernel::endpoint> candidates;
  // Delay before the next attempt.
  std::int64_t retry_after_ms = 0;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"candidates", &redirect::candidates},
                      kernel::field{"retry_after_ms", &redirect::retry_after_ms}};
  }
  friend bool operator==(const redirect&, const redirect&) = default;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_REDIRECT_H_
