#ifndef CORNELWEIR_PLUGINS_SIDECAR_QUEUE_TELEMETRY_H_
#define CORNELWEIR_PLUGINS_SIDECAR_QUEUE_TELEMETRY_H_

#include "cornelweir/admission.h"
#include "cornelweir/kernel.h"
#include "cornelweir/metrics.h"
#include "cornelweir/protocol.h"

namespace cornelweir::plugins::sidecar {

// A request that was refused at its upstream, and why.
struct refusal_record {
  const protocol::run_request& request;
  admission::request_rank rank;
  kernel::time_point deadline;
  bool nested = false;
  // Time since the request arrived.
  kernel::microseconds waited{};
  // Time that it was expected to wait further, and its mean run time.
  kernel::microseconds expected_wait{};
  kernel::microseconds run_time{};
};

void LogRefusal(const refusal_record& refusal, kernel::time_point now);

// Records the time from the arrival of a request to its start.
void ObserveQueueWait(metrics::metrics_registry& metrics, const protocol::run_request& request,
                      std::int32_t priority, kernel::microseconds wait);

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_QUEUE_TELEMETRY_H_
