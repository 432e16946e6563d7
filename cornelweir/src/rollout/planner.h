#ifndef CORNELWEIR_SRC_ROLLOUT_PLANNER_H_
#define CORNELWEIR_SRC_ROLLOUT_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/rollout/rollout_record.h"

namespace cornelweir::rollout {

// What the leader knows of a running rollout.
struct rollout_progress {
  // Since the order, and since the share was set.
  kernel::microseconds elapsed{};
  kernel::microseconds step_elapsed{};
  // Whether the evidence shows that the target version is bad, and whether it suffices for the
  // second step.
  bool bad = false;
  bool evidence_suffices = false;
  // Whether this leader was elected too recently to have the reports of all connected daemons.
  bool collecting = false;
  // Slots of the upstreams of the target version that are ready.
  std::int64_t target_slots = 0;
  // Requests at all upstreams of the service, running and queued.
  std::int64_t requests = 0;
  // Daemons that may still run requests at an upstream of another version.
  std::size_t unfinished_daemons = 0;
};

// The next share and state of a rollout.
struct rollout_step {
  kernel::traffic_share share;
  rollout_state state = rollout_state::kRunning;
  std::string_view reason;
};

// Returns the step that is due now, if any.
std::optional<rollout_step> NextStep(const rollout_record& record,
                                     const rollout_progress& progress);

// Duration of the first step. A version that becomes bad late must do so while its share is small,
// so the step lasts as long as the others allow.
kernel::microseconds CanaryTime(kernel::milliseconds duration);

// The earliest time at which the rollout can be completed: since the order at the first share,
// since the share was set at the others.
kernel::microseconds TimeToCompletion(const rollout_record& record);

}  // namespace cornelweir::rollout

#endif  // CORNELWEIR_SRC_ROLLOUT_PLANNER_H_
