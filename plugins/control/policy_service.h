#ifndef CORNELWEIR_PLUGINS_CONTROL_POLICY_SERVICE_H_
#define CORNELWEIR_PLUGINS_CONTROL_POLICY_SERVICE_H_

#include <memory>

#include "plugins/policy_port.h"

namespace cornelweir::plugins::control {

class control_plugin;

// Replaces and reads the policy through the replicated log. Any control host accepts requests and,
// before each of them, proves that its state is current.
class policy_service {
 public:
  explicit policy_service(control_plugin& owner) : owner_(owner) {}

  // Returns the functions that other plug-ins call. They must not outlive this object.
  policy_port MakePort();

 private:
  void Replace(kernel::policy_version base, policy_submission submission,
               const policy_port::replace_callback& callback);
  void Submit(kernel::policy_version base, const policy_submission& submission,
              const policy_port::replace_callback& callback);
  void Read(const policy_port::read_callback& callback);

  control_plugin& owner_;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_POLICY_SERVICE_H_
