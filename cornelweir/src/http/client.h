#ifndef CORNELWEIR_SRC_HTTP_CLIENT_H_
#define CORNELWEIR_SRC_HTTP_CLIENT_H_

#include <boost/beast/http/verb.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "cornelweir/src/http/connection_pool.h"
#include "cornelweir/src/http/header_list.h"
#include "cornelweir/src/http/http_result.h"
#include "cornelweir/src/http/limits.h"
#include "cornelweir/src/http/status_code.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/loop/event_loop.h"

namespace cornelweir::http {

using method = boost::beast::http::verb;

// A request to send. Without a Host header, Host is set to the endpoint.
struct client_request {
  http::method method = http::method::get;
  std::string target;
  header_list headers;
  std::string body;
};

// Moving headers copies (and may throw) only between unequal allocators, which are not used here.
// NOLINTNEXTLINE(bugprone-exception-escape)
struct client_response {
  status_code status;
  header_list headers = {};
  std::string body = {};
};

// Sends requests over pooled connections and buffers whole responses. A truncated one is an error.
class client {
 public:
  using callback = std::function<void(http_result<client_response>)>;
  // Has the lifetime of the client; callbacks are not called after the client is destroyed.
  struct owner_token {};

  explicit client(loop::event_loop& loop, pool_limits limits = {},
                  std::size_t max_body_bytes = kMaxAdminBodyBytes);

  // Calls done once, never from within Send(), unless the client is destroyed first. The timeout
  // covers the whole exchange.
  void Send(const kernel::endpoint& endpoint, client_request request, kernel::microseconds timeout,
            callback done);

  connection_pool& pool() { return *pool_; }

 private:
  loop::event_loop& loop_;
  // Shared with requests in progress.
  std::shared_ptr<connection_pool> pool_;
  std::shared_ptr<owner_token> owner_;
  std::size_t max_body_bytes_;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_CLIENT_H_
