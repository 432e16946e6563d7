#ifndef CORNELWEIR_SRC_HTTP_PROXY_SERVER_H_
#define CORNELWEIR_SRC_HTTP_PROXY_SERVER_H_

#include <boost/leaf.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "cornelweir/src/http/connection_pool.h"
#include "cornelweir/src/http/exchange.h"
#include "cornelweir/src/http/limits.h"
#include "cornelweir/src/http/proxy_core.h"
#include "cornelweir/src/http/request_head.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/loop/event_loop.h"
#include "cornelweir/src/memory/memory_account.h"

namespace cornelweir::http {

// Responds to or forwards each request, immediately or later, by calls on the exchange.
template <class T>
concept request_handler = requires(T& handler, const request_head& head,
                                   std::shared_ptr<exchange> request) {
  handler.HandleRequest(head, request);
};

// A handler that adds headers to responses that the server itself sends to requests that it can't
// read. sent tells whether part of the request was sent to an upstream.
template <class T>
concept refusal_handler = requires(T& handler, bool sent, header_list& headers) {
  handler.AddRefusalHeaders(sent, headers);
};

// Accepts connections of callers and passes each request to the handler. The handler, the pool and
// the loop must outlive the server.
template <request_handler Handler>
class proxy_server {
 public:
  // The buffers of requests are counted in the account, if there is one. A request without room is
  // refused.
  proxy_server(loop::event_loop& loop, connection_pool& pool, Handler& handler,
               proxy_limits limits = {}, std::shared_ptr<memory::memory_account> memory = nullptr)
      : core_(std::make_shared<internal::proxy_core>(
            loop, pool, limits, std::move(memory),
            [&handler](const std::shared_ptr<exchange>& request) {
              handler.HandleRequest(request->head(), request);
            },
            [&handler](bool sent, header_list& headers) {
              if constexpr (refusal_handler<Handler>) handler.AddRefusalHeaders(sent, headers);
            })) {}
  proxy_server(const proxy_server&) = delete;
  proxy_server& operator=(const proxy_server&) = delete;
  ~proxy_server() { core_->Close(); }

  // Starts to accept connections. Port 0 selects a free port. Errors carry an http_error.
  boost::leaf::result<void> Listen(const kernel::endpoint& endpoint) {
    return core_->Listen(endpoint);
  }
  // The bound endpoint, with the port that the system selected; empty before Listen().
  kernel::endpoint local_endpoint() const { return core_->local_endpoint(); }

  // Stops accepting, closes idle connections, answers requests in progress with Connection: close,
  // and calls done once the last connection is closed.
  void BeginDrain(std::function<void()> done) { core_->BeginDrain(std::move(done)); }

  std::size_t connections() const { return core_->connections(); }

 private:
  std::shared_ptr<internal::proxy_core> core_;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_PROXY_SERVER_H_
