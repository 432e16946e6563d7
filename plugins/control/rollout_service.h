#ifndef CORNELWEIR_PLUGINS_CONTROL_ROLLOUT_SERVICE_H_
#define CORNELWEIR_PLUGINS_CONTROL_ROLLOUT_SERVICE_H_

#include <vector>

#include "plugins/rollout_port.h"

namespace cornelweir::plugins::control {

class control_plugin;

// Starts and reads rollouts through the replicated log. Any control host accepts requests and,
// before each of them, proves that its state is current.
class rollout_service {
 public:
  explicit rollout_service(control_plugin& owner) : owner_(owner) {}

  // Returns the functions that other plug-ins call. They must not outlive this object.
  rollout_port MakePort();

 private:
  void Start(const rollout_order& order, const rollout_port::start_callback& callback);
  void Submit(const rollout_order& order, const rollout_port::start_callback& callback);
  void Read(const kernel::service_name& service, const rollout_port::read_callback& callback);
  bool IsKnownService(const kernel::service_name& service) const;
  // The versions that the upstreams of the service announce, other than the target.
  std::vector<kernel::software_version> ReleasedVersions(const rollout_order& order) const;

  control_plugin& owner_;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_ROLLOUT_SERVICE_H_
