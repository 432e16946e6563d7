#ifndef CORNELWEIR_PLUGINS_CONTROL_POLICY_SERVICE_H_
#define CORNELWEIR_PLUGINS_CONTROL_POLICY_SERVICE_H_

#include "plugins/policy_port.h"

namespace cornelweir::plugins::control {

class control_plugin;

// Replaces and reads the policy through the replicated log. Any control host takes requests; each
// first proves that it knows the newest policy.
class policy_service {
 public:
  explicit policy_service(control_plugin& owner) : owner_(owner) {}

  policy_port Port();

 private:
  void Replace(kernel::policy_version base, const policy::policy_table& table,
               const policy_port::replace_callback& answer);
  void Submit(kernel::policy_version base, const policy::policy_table& table,
              const policy_port::replace_callback& answer);
  void Read(const policy_port::read_callback& answer);

  control_plugin& owner_;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_POLICY_SERVICE_H_
