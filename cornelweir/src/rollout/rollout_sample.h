#ifndef CORNELWEIR_SRC_ROLLOUT_ROLLOUT_SAMPLE_H_
#define CORNELWEIR_SRC_ROLLOUT_ROLLOUT_SAMPLE_H_

#include <cstdint>
#include <map>
#include <string_view>
#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/rollout/route_evidence.h"

namespace cornelweir::rollout {

// What the daemon beside an upstream reports periodically while a rollout of its service runs, for
// the leader of the control group.
struct rollout_sample {
  static constexpr std::string_view kType = "rollout_sample";

  kernel::endpoint daemon;
  kernel::service_name service;
  // The revision of the service's record that the daemon enforces.
  kernel::rollout_revision revision;
  // The version of the upstream; empty if unknown.
  kernel::software_version version;
  // Whether the upstream accepts new requests, and its slots if it does and is warmed up.
  bool open = false;
  std::int64_t slots = 0;
  // Requests at the upstream, and requests that wait for it.
  std::int64_t in_progress = 0;
  std::int64_t queued = 0;
  // When the counting started, by the clock of the daemon. Samples with the same value are
  // cumulative.
  kernel::microseconds counted_since{};
  std::map<kernel::route_name, route_evidence> routes;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"d", &rollout_sample::daemon},
                      kernel::field{"s", &rollout_sample::service},
                      kernel::field{"r", &rollout_sample::revision},
                      kernel::field{"v", &rollout_sample::version},
                      kernel::field{"o", &rollout_sample::open},
                      kernel::field{"c", &rollout_sample::slots},
                      kernel::field{"p", &rollout_sample::in_progress},
                      kernel::field{"q", &rollout_sample::queued},
                      kernel::field{"b", &rollout_sample::counted_since},
                      kernel::field{"e", &rollout_sample::routes}};
  }
};

}  // namespace cornelweir::rollout

#endif  // CORNELWEIR_SRC_ROLLOUT_ROLLOUT_SAMPLE_H_
