#ifndef CORNELWEIR_PLUGINS_SIDECAR_REQUEST_METRICS_H_
#define CORNELWEIR_PLUGINS_SIDECAR_REQUEST_METRICS_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "cornelweir/kernel.h"
#include "cornelweir/metrics.h"

namespace cornelweir::plugins::sidecar {

// Records the outcomes and times of the requests of callers. Keeps the metrics of each service, as
// a look-up by labels costs more than an observation.
class request_metrics {
 public:
  explicit request_metrics(metrics::metrics_registry& metrics) : metrics_(metrics) {}

  // The service is empty if the request was answered before it was routed. There are few outcomes.
  void Observe(const kernel::service_name& service, std::string_view outcome,
               kernel::microseconds took);

 private:
  struct service_metrics {
    std::map<std::string, metrics::counter*, std::less<>> by_outcome;
    metrics::histogram* seconds = nullptr;
  };

  metrics::metrics_registry& metrics_;
  std::map<kernel::service_name, service_metrics> by_service_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_REQUEST_METRICS_H_
