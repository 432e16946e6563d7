#ifndef CORNELWEIR_SRC_ADMISSION_SLOT_REQUEST_H_
#define CORNELWEIR_SRC_ADMISSION_SLOT_REQUEST_H_

#include <cstdint>

#include "cornelweir/src/admission/ticket.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// A request that asks for a slot of an upstream.
struct slot_request {
  ticket id;
  // Sent by an upstream as part of a request that is already running. Refusing it would waste the
  // slot that its parent holds, so it may wait until its deadline.
  bool nested = false;
  // Its sender can still try another upstream if it is refused.
  bool has_alternative = false;
  // 0 is the most urgent. A nested request has the priority of its parent.
  std::int32_t priority = 0;
  // The time by which the response should be sent to meet the target latency.
  kernel::time_point objective;
  kernel::time_point deadline;
  // Mean run time of the requests of its route; zero if unknown.
  kernel::microseconds run_time{};
  // Expected time to send its response after the run, including the wait for other responses; zero
  // unless the response is large and the network is the bottleneck.
  kernel::microseconds transfer_time{};
  // The same if other responses are dropped for its own; zero if its own may not be dropped. Counts
  // for a request that gets a slot at once, which costs others nothing if it runs in vain.
  kernel::microseconds least_transfer_time{};
  // Run time that most requests of its route do not exceed at present; zero if unknown.
  kernel::microseconds safe_run_time{};
  // Time that its own calls can expect to wait for slots elsewhere; zero if it makes none.
  kernel::microseconds call_wait{};
  kernel::route_name route;
  // Empty if the request belongs to none.
  kernel::workspace_id workspace;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_SLOT_REQUEST_H_
