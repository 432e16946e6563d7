#ifndef CORNELWEIR_PLUGINS_SIDECAR_QUEUE_TELEMETRY_H_
#define CORNELWEIR_PLUGINS_SIDECAR_QUEUE_TELEMETRY_H_

#include <cstdint>
#include <map>

#include "cornelweir/admission.h"
#include "cornelweir/kernel.h"
#include "cornelweir/metrics.h"
#include "cornelweir/protocol.h"

namespace cornelweir::plugins::sidecar {

// A request that was refused a slot, and why.
struct refusal_record {
  // As the queue saw it. Its priority is the one that decided, and its transfer time is what the
  // network was expected to need for the response.
  const admission::slot_request& asked;
  admission::slot_refusal_cause cause;
  // Time since the request arrived.
  kernel::microseconds waited{};
  // Time that it was expected to wait further.
  kernel::microseconds expected_wait{};
  // Requests at the upstream, and those that wait for it.
  std::int64_t running = 0;
  std::int64_t queued = 0;
};

// Records how requests get the slots of an upstream: the time from their arrival to their start,
// the time that they hold the slots, and the refusals. Keeps the metrics of each route and
// workspace, as a look-up by labels costs more than an observation.
class queue_telemetry {
 public:
  explicit queue_telemetry(metrics::metrics_registry& metrics) : metrics_(metrics) {}

  // Counts and logs a refusal.
  void OnRefused(const refusal_record& refusal, kernel::time_point now);
  // Records the end of a request that held a slot for this time.
  void OnSlotFreed(const kernel::route_name& route, bool nested, kernel::microseconds held);
  void ObserveWait(const protocol::run_request& request, std::int32_t priority,
                   kernel::microseconds wait);

 private:
  metrics::histogram& WaitOfRoute(const kernel::route_name& route, std::int32_t priority);
  metrics::histogram& WaitOfWorkspace(const kernel::workspace_id& workspace);

  metrics::metrics_registry& metrics_;
  std::map<kernel::route_name, std::map<std::int32_t, metrics::histogram*>> waits_by_route_;
  std::map<kernel::workspace_id, metrics::histogram*> waits_by_workspace_;
  // By whether the requests are nested.
  std::map<kernel::route_name, std::map<bool, metrics::counter*>> slot_times_by_route_;
  std::map<kernel::route_name, std::map<admission::slot_refusal_cause, metrics::counter*>>
      refusals_by_route_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_QUEUE_TELEMETRY_H_
