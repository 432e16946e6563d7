#ifndef CORNELWEIR_PLUGINS_SIDECAR_QUEUE_TELEMETRY_H_
#define CORNELWEIR_PLUGINS_SIDECAR_QUEUE_TELEMETRY_H_

#include <cstdint>
#include <map>

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

// Records the time from the arrival of requests to their start. Keeps the metric of each route and
// workspace, as a look-up by labels costs more than an observation.
class queue_wait_metrics {
 public:
  explicit queue_wait_metrics(metrics::metrics_registry& metrics) : metrics_(metrics) {}

  void Observe(const protocol::run_request& request, std::int32_t priority,
               kernel::microseconds wait);

 private:
  metrics::histogram& OfRoute(const kernel::route_name& route, std::int32_t priority);
  metrics::histogram& OfWorkspace(const kernel::workspace_id& workspace);

  metrics::metrics_registry& metrics_;
  std::map<kernel::route_name, std::map<std::int32_t, metrics::histogram*>> by_route_;
  std::map<kernel::workspace_id, metrics::histogram*> by_workspace_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_QUEUE_TELEMETRY_H_
