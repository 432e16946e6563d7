#include "plugins/sidecar/request_metrics.h"

#include <chrono>

namespace cornelweir::plugins::sidecar {

void request_metrics::Observe(const kernel::service_name& service, std::string_view outcome,
                              kernel::microseconds took) {
  service_metrics& known = by_service_[service];
  auto counted = known.by_outcome.find(outcome);
  if (counted == known.by_outcome.end()) {
    metrics::counter& created =
        metrics_.Counter("cornelweir_requests_total", "Requests of callers by outcome",
                         {{"service", service.value()}, {"outcome", std::string(outcome)}});
    counted = known.by_outcome.emplace(outcome, &created).first;
  }
  counted->second->Increment();
  if (known.seconds == nullptr) {
    known.seconds =
        &metrics_.Histogram("cornelweir_request_seconds", "Time from a request to its answer",
                            {{"service", service.value()}});
  }
  known.seconds->Observe(std::chrono::duration<double>(took).count());
}

}  // namespace cornelweir::plugins::sidecar
