#ifndef CORNELWEIR_SRC_HTTP_ADMIN_CLIENT_H_
#define CORNELWEIR_SRC_HTTP_ADMIN_CLIENT_H_

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "cornelweir/src/http/client.h"

namespace cornelweir::http {

// Sends small JSON messages to administration endpoints.
class admin_client {
 public:
  using callback = client::callback;

  explicit admin_client(loop::event_loop& loop, pool_limits limits = {}) : client_(loop, limits) {}

  void Request(const kernel::endpoint& endpoint, http::method method, std::string_view target,
               std::string body, kernel::microseconds timeout, callback done) {
    client_request request;
    request.method = method;
    request.target = std::string(target);
    if (!body.empty()) {
      request.headers.set(boost::beast::http::field::content_type, "application/json");
    }
    request.body = std::move(body);
    client_.Send(endpoint, std::move(request), timeout, std::move(done));
  }

 private:
  client client_;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_ADMIN_CLIENT_H_
