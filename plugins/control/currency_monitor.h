#ifndef CORNELWEIR_PLUGINS_CONTROL_CURRENCY_MONITOR_H_
#define CORNELWEIR_PLUGINS_CONTROL_CURRENCY_MONITOR_H_

#include "cornelweir/metrics.h"
#include "plugins/control/currency_status.h"

namespace cornelweir::plugins::control {

// Shows as metrics whether this host is current, and why not.
class currency_monitor {
 public:
  explicit currency_monitor(metrics::metrics_registry& metrics) : metrics_(metrics) {}

  // Updates the metrics. Called periodically.
  void Report(const currency_status& status);

 private:
  metrics::metrics_registry& metrics_;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_CURRENCY_MONITOR_H_
