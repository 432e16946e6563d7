#include "plugins/sidecar/queue_telemetry.h"

#include <algorithm>
#include <string>

#include "cornelweir/logging.h"

namespace cornelweir::plugins::sidecar {

void queue_telemetry::OnRefused(const refusal_record& refusal, kernel::time_point now) {
  const kernel::route_name& route = refusal.asked.route;
  metrics::counter*& known = refusals_by_route_[route][refusal.cause];
  if (known == nullptr) {
    known = &metrics_.Counter(
        "cornelweir_upstream_refusals_total", "Requests that were refused a slot of the upstream",
        {{"route", route.value()}, {"cause", std::string(admission::ToString(refusal.cause))}});
  }
  known->Increment();
  const auto milliseconds_until = [now](kernel::time_point time) {
    return kernel::ToMilliseconds(time - now).count();
  };
  logging::event(logging::event_id::kRequestRefused)
      .With("route", route)
      .With("workspace", refusal.asked.workspace)
      .With("nested", refusal.asked.nested)
      .With("priority", refusal.asked.priority)
      .With("objective_ms", milliseconds_until(refusal.asked.objective))
      .With("deadline_ms", milliseconds_until(refusal.asked.deadline))
      .With("run_ms", kernel::ToMilliseconds(refusal.asked.run_time).count())
      .With("transfer_ms", kernel::ToMilliseconds(refusal.asked.transfer_time).count())
      .With("least_transfer_ms", kernel::ToMilliseconds(refusal.asked.least_transfer_time).count())
      .With("call_wait_ms", kernel::ToMilliseconds(refusal.asked.call_wait).count())
      .With("wait_ms", kernel::ToMilliseconds(refusal.expected_wait).count())
      .With("waited_ms", kernel::ToMilliseconds(refusal.waited).count())
      .With("running", refusal.running)
      .With("queued", refusal.queued)
      .With("missed", admission::ToString(refusal.cause));
}

void queue_telemetry::OnSlotFreed(const kernel::route_name& route, bool nested,
                                  kernel::microseconds held) {
  metrics::counter*& known = slot_times_by_route_[route][nested];
  if (known == nullptr) {
    known = &metrics_.Counter("cornelweir_upstream_slot_milliseconds_total",
                              "Time that requests held slots of the upstream",
                              {{"route", route.value()}, {"nested", nested ? "1" : "0"}});
  }
  known->Increment(static_cast<std::uint64_t>(
      std::max(kernel::ToMilliseconds(held), kernel::milliseconds::zero()).count()));
}

metrics::histogram& queue_telemetry::WaitOfRoute(const kernel::route_name& route,
                                                 std::int32_t priority) {
  metrics::histogram*& known = waits_by_route_[route][priority];
  if (known == nullptr) {
    known = &metrics_.Histogram("cornelweir_queue_wait_seconds",
                                "Time from a request's arrival to its start",
                                {{"route", route.value()}, {"priority", std::to_string(priority)}});
  }
  return *known;
}

metrics::histogram& queue_telemetry::WaitOfWorkspace(const kernel::workspace_id& workspace) {
  metrics::histogram*& known = waits_by_workspace_[workspace];
  if (known == nullptr) {
    known = &metrics_.Histogram("cornelweir_workspace_queue_wait_seconds",
                                "Time from the arrival of a workspace's request to its start",
                                {{"workspace", workspace.value()}});
  }
  return *known;
}

void queue_telemetry::ObserveWait(const protocol::run_request& request, std::int32_t priority,
                                  kernel::microseconds wait) {
  const double seconds = std::chrono::duration<double>(wait).count();
  WaitOfRoute(request.route, priority).Observe(seconds);
  if (!request.workspace.value().empty()) WaitOfWorkspace(request.workspace).Observe(seconds);
}

}  // namespace cornelweir::plugins::sidecar
