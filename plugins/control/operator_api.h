#ifndef CORNELWEIR_PLUGINS_CONTROL_OPERATOR_API_H_
#define CORNELWEIR_PLUGINS_CONTROL_OPERATOR_API_H_

#include <functional>
#include <optional>

#include "cornelweir/codec.h"
#include "cornelweir/control.h"
#include "cornelweir/http.h"

namespace cornelweir::plugins::control {

class control_plugin;

// The operators' HTTP/JSON interface of a control host. docs/API.md describes it.
class operator_api {
 public:
  explicit operator_api(control_plugin& owner) : owner_(owner) {}

  // Adds the handlers to the server. The server must not outlive this object while it serves.
  void Register(http::admin_server& server);

 private:
  using request = http::admin_request;
  using reply = http::admin_reply;

  void GetTable(const request& from, reply answer);
  void GetDraft(const request& from, reply answer);
  void GetHistory(const request& from, reply answer);
  void GetVersion(const request& from, reply answer);
  void GetStatus(const request& from, reply answer);

  // Decodes a command from the body, submits it and answers with its outcome.
  template <class Command>
  void PostCommand(const request& from, reply answer);

  // Answers a read after proving that this host's state is current.
  void AnswerCurrent(reply answer, std::function<codec::json()> read);

  control_plugin& owner_;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_OPERATOR_API_H_
