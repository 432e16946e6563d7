#ifndef CORNELWEIR_PLUGINS_CONTROL_POLICY_API_H_
#define CORNELWEIR_PLUGINS_CONTROL_POLICY_API_H_

#include <memory>
#include <string>
#include <vector>

#include "cornelweir/http.h"
#include "cornelweir/policy.h"

namespace cornelweir::plugins::control {

class control_plugin;

// The part of the operators' interface with which a policy is checked before it is submitted: the
// policy in force, and what this host knows of the services' upstreams.
class policy_api {
 public:
  explicit policy_api(control_plugin& owner) : owner_(owner) {}

  // Adds the handlers to the server. The server must not outlive this object while it serves.
  void Register(http::admin_server& server);

 private:
  void GetPolicy(http::admin_reply send_reply);
  void GetServices(http::admin_reply send_reply);
  std::vector<policy::service_state> ServiceStates() const;

  control_plugin& owner_;
  // The policy of the latest response, and the response's body: a large policy takes long to
  // encode. All responses share the body.
  std::shared_ptr<const policy::policy_table> encoded_table_;
  std::shared_ptr<const std::string> encoded_;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_POLICY_API_H_
