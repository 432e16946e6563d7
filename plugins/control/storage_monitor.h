#ifndef CORNELWEIR_PLUGINS_CONTROL_STORAGE_MONITOR_H_
#define CORNELWEIR_PLUGINS_CONTROL_STORAGE_MONITOR_H_

#include "cornelweir/metrics.h"
#include "plugins/control/replica.h"

namespace cornelweir::plugins::control {

// Shows operators the state of this host's storage: metrics, and a warning before the disk is full.
class storage_monitor {
 public:
  explicit storage_monitor(metrics::metrics_registry& metrics) : metrics_(metrics) {}

  // Updates the metrics. Called periodically.
  void Report(const replica::durable_node& storage);

 private:
  void ReportFreeSpace(const replica::durable_node& storage);

  metrics::metrics_registry& metrics_;
  bool is_space_low_ = false;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_STORAGE_MONITOR_H_
