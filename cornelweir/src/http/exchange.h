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

// One request of a caller and its response. The handler may keep it and respond later, until the
// request is answered or the caller has disconnected; after that, calls have no effect. If it is
// destroyed without a response, the request is answered with 500.
class exchange {
 public:
  explicit exchange(std::shared_ptr<internal::caller_connection> connection);
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;
  ~exchange();

  const request_head& head() const { return head_; }

  // Whether the request can still be answered.
  bool open() const { return connection_ != nullptr; }

  // Calls callback once if the caller closes its connection while no attempt is in progress; an
  // attempt reports this in its result. The caller's connection is already closed then. A caller
  // that shuts down only its sending side also counts, since the two can't be distinguished.
  void OnCallerGone(std::function<void()> callback);

  // Respond to the request without an upstream.
  void Refuse(status_code status, std::string body, header_list headers);
  void Respond(local_response response);

  // Forwards the request to a server and the response to the caller. extra_headers replace headers
  // of the caller with the same names. The timeout covers the time from this call to the end of the
  // response. After kNotSent, kBrokenBeforeResponse, kDeclined, or kTimeout without a response, the
  // handler must respond or forward again. Only one attempt may be in progress.
  void ForwardTo(const kernel::endpoint& endpoint, const header_list& extra_headers,
                 kernel::microseconds timeout, forward_callbacks callbacks);

  // Whether another attempt would send the whole body: no response was sent, and the part of the
  // body that was already read is retained.
  bool CanRetry() const;

  // The part of the body read so far, up to kMaxRetainedBodyBytes; empty if it is longer. The view
  // is invalidated when more of the body is read.
  std::string_view RetainedBody() const;

 private:
  friend class internal::caller_connection;

  std::shared_ptr<internal::caller_connection> connection_;
  request_head head_;
  std::function<void()> on_caller_gone_;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_EXCHANGE_H_
