#ifndef CORNELWEIR_PLUGINS_CONTROL_OPERATOR_API_H_
#define CORNELWEIR_PLUGINS_CONTROL_OPERATOR_API_H_

#include <functional>
#include <optional>

#include "cornelweir/codec.h"
#include "cornelweir/control.h"
#include "cornelweir/http.h"
#include "plugins/control/policy_api.h"

namespace cornelweir::plugins::control {

class control_plugin;

// The operators' HTTP/JSON interface of a control host. docs/API.md describes it.
class operator_api {
 public:
  explicit operator_api(control_plugin& owner) : owner_(owner), policy_(owner) {}

  // Adds the handlers to the server. The server must not outlive this object while it serves.
  void Register(http::admin_server& server);

 private:
  using request = http::admin_request;
  using reply = http::admin_reply;

  void GetTable(const request& received, reply send_reply);
  void GetDraft(const request& received, reply send_reply);
  void GetHistory(const request& received, reply send_reply);
  void GetVersion(const request& received, reply send_reply);
  void GetStatus(const request& received, reply send_reply);

  // Decodes a command from the body, submits it and replies with its outcome.
  template <class Command>
  void PostCommand(const request& received, reply send_reply);

  // Replies with the body that make_body returns once this host's state is proved current, or with
  // 503 if it can't be proved.
  void ReplyIfCurrent(reply send_reply, std::function<codec::json()> make_body);

  control_plugin& owner_;
  policy_api policy_;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_OPERATOR_API_H_
