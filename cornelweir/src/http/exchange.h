#ifndef CORNELWEIR_SRC_HTTP_EXCHANGE_H_
#define CORNELWEIR_SRC_HTTP_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cornelweir/src/http/forward_result.h"
#include "cornelweir/src/http/header_list.h"
#include "cornelweir/src/http/local_response.h"
#include "cornelweir/src/http/request_head.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::http {

namespace internal {
class caller_connection;
}  // namespace internal

// One request of a caller and the answer to it. The handler may keep it and act on it later, until
// the request is answered or the caller is gone; after that, all calls do nothing. A request whose
// exchange is dropped without an answer is answered 500.
class exchange {
 public:
  explicit exchange(std::shared_ptr<internal::caller_connection> connection);
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;
  ~exchange();

  const request_head& head() const { return head_; }

  // Whether the request can still be answered.
  bool open() const { return connection_ != nullptr; }

  // Calls back once if the caller closes its connection while no attempt is in progress; an
  // attempt reports it in its result. The caller's connection is closed already. A caller that
  // closes only its sending side counts as gone, since the two can't be told apart.
  void OnCallerGone(std::function<void()> callback);

  // Answers the request without an upstream.
  void Refuse(int status, std::string body, header_list headers);
  void Respond(local_response response);

  // Sends the request to a server and its response to the caller. The headers of extra replace
  // those of the caller. The timeout covers everything from here to the end of the response.
  // After kNotSent, kBrokenBeforeResponse, kDeclined and kTimeout without a response, the handler
  // answers or forwards again. One attempt at a time.
  void ForwardTo(const kernel::endpoint& endpoint, const header_list& extra,
                 kernel::microseconds timeout, forward_callbacks callbacks);

  // Whether another attempt would send the whole body: nothing was answered, and the part of the
  // body that was read already is retained.
  bool CanRetry() const;

  // What was read of the body so far, up to kMaxRetainedBodyBytes; empty if it is longer. The text
  // changes with the next bytes of the body.
  std::string_view RetainedBody() const;

 private:
  friend class internal::caller_connection;

  std::shared_ptr<internal::caller_connection> connection_;
  request_head head_;
  std::function<void()> on_caller_gone_;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_EXCHANGE_H_
