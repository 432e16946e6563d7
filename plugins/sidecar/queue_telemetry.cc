#include "plugins/sidecar/queue_telemetry.h"

#include <string>

#include "cornelweir/logging.h"

namespace cornelweir::plugins::sidecar {

void LogRefusal(const refusal_record& refusal, kernel::time_point now) {
  const bool misses_deadline =
      refusal.nested || now + refusal.expected_wait + refusal.run_time > refusal.deadline;
  logging::event(logging::event_id::kRequestRefused)
      .With("route", refusal.request.route)
      .With("workspace", refusal.request.workspace)
      .With("nested", refusal.nested)
      .With("priority", refusal.rank.priority)
      .With("objective_ms", kernel::ToMilliseconds(refusal.rank.objective - now).count())
      .With("deadline_ms", kernel::ToMilliseconds(refusal.deadline - now).count())
      .With("run_ms", kernel::ToMilliseconds(refusal.run_time).count())
      .With("wait_ms", kernel::ToMilliseconds(refusal.expected_wait).count())
      .With("waited_ms", kernel::ToMilliseconds(refusal.waited).count())
      .With("missed", misses_deadline ? "deadline" : "objective");
}

metrics::histogram& queue_wait_metrics::OfRoute(const kernel::route_name& route,
                                                std::int32_t priority) {
  metrics::histogram*& known = by_route_[route][priority];
  if (known == nullptr) {
    known = &metrics_.Histogram("cornelweir_queue_wait_seconds",
                                "Time from a request's arrival to its start",
                                {{"route", route.value()}, {"priority", std::to_string(priority)}});
  }
  return *known;
}

metrics::histogram& queue_wait_metrics::OfWorkspace(const kernel::workspace_id& workspace) {
  metrics::histogram*& known = by_workspace_[workspace];
  if (known == nullptr) {
    known = &metrics_.Histogram("cornelweir_workspace_queue_wait_seconds",
                                "Time from the arrival of a workspace's request to its start",
                                {{"workspace", workspace.value()}});
  }
  return *known;
}

void queue_wait_metrics::Observe(const protocol::run_request& request, std::int32_t priority,
                                 kernel::microseconds wait) {
  const double seconds = std::chrono::duration<double>(wait).count();
  OfRoute(request.route, priority).Observe(seconds);
  if (!request.workspace.value().empty()) OfWorkspace(request.workspace).Observe(seconds);
}

}  // namespace cornelweir::plugins::sidecar
