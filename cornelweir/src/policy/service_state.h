#ifndef CORNELWEIR_SRC_POLICY_SERVICE_STATE_H_
#define CORNELWEIR_SRC_POLICY_SERVICE_STATE_H_

#include <cstdint>
#include <optional>
#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::policy {

// The version that a running rollout of a service introduces.
struct rollout_target {
  kernel::software_version version;
  std::int64_t upstreams = 0;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"version", &rollout_target::version},
                      kernel::field{"upstreams", &rollout_target::upstreams}};
  }
  friend bool operator==(const rollout_target&, const rollout_target&) = default;
};

// What a control host knows of the upstreams of a service that take requests.
struct service_state {
  kernel::service_name service;
  std::int64_t upstreams = 0;
  std::int64_t slots = 0;
  // The sum of the limits that their responses state. Empty if one of them has stated none.
  std::optional<kernel::request_rate> rate_limit;
  std::optional<rollout_target> rollout;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"service", &service_state::service},
                      kernel::field{"upstreams", &service_state::upstreams},
                      kernel::field{"slots", &service_state::slots},
                      kernel::field{"rate_limit", &service_state::rate_limit},
                      kernel::field{"rollout", &service_state::rollout}};
  }
  friend bool operator==(const service_state&, const service_state&) = default;
};

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_SERVICE_STATE_H_
