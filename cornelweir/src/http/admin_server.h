#ifndef CORNELWEIR_SRC_HTTP_ADMIN_SERVER_H_
#define CORNELWEIR_SRC_HTTP_ADMIN_SERVER_H_

#include <boost/leaf.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cornelweir/src/http/client.h"
#include "cornelweir/src/http/header_list.h"
#include "cornelweir/src/http/limits.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/loop/event_loop.h"
#include "cornelweir/src/memory/memory_account.h"

namespace cornelweir::http {

// A request with its complete body, as passed to a handler.
struct admin_request {
  http::method method = http::method::get;
  std::string target;
  std::string body;
  header_list headers;

  // Returns the value of a header, or an empty string.
  std::string_view Header(std::string_view name) const { return HeaderValue(headers, name); }
};

// The response to an admin_request.
struct admin_response {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  header_list headers = {};
  // Sent instead of the body if set. A large text is shared by all responses that contain it.
  std::shared_ptr<const std::string> shared_body = nullptr;
};

namespace internal {
class admin_core;
class admin_session;
}  // namespace internal

// Sends the response to one request, immediately or later. Only the first call has an effect. If
// the object is destroyed without a call, the response is a 500.
class admin_reply {
 public:
  explicit admin_reply(std::shared_ptr<internal::admin_session> session);
  admin_reply(admin_reply&&) noexcept = default;
  admin_reply& operator=(admin_reply&&) = delete;
  admin_reply(const admin_reply&) = delete;
  admin_reply& operator=(const admin_reply&) = delete;
  // Throws only if memory is exhausted, which terminates the process.
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~admin_reply();

  void operator()(admin_response response);

 private:
  std::shared_ptr<internal::admin_session> session_;
};

// Serves small messages, such as administration and announcements. Bodies are buffered completely.
class admin_server {
 public:
  using handler = std::function<void(const admin_request&, admin_reply)>;

  // Bodies that responses do not share are counted in the account, if there is one. A body for
  // which it has no room is not sent: the response is a 503.
  explicit admin_server(loop::event_loop& loop, admin_limits limits = {},
                        std::shared_ptr<memory::memory_account> memory = nullptr);
  admin_server(const admin_server&) = delete;
  admin_server& operator=(const admin_server&) = delete;
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~admin_server();

  // Registers the handler of requests with this method whose path begins with path_prefix. The
  // longest matching prefix wins. A path that has handlers only for other methods yields a 405.
  void Handle(http::method method, std::string_view path_prefix, handler handle);

  // Starts to accept connections. Port 0 selects a free port. Errors carry an http_error.
  boost::leaf::result<void> Listen(const kernel::endpoint& endpoint);
  // The bound endpoint, with the port that the system selected; empty before Listen().
  kernel::endpoint local_endpoint() const;

  // Stops accepting, closes idle connections and calls done once every request is answered.
  void BeginDrain(std::function<void()> done);

 private:
  std::shared_ptr<internal::admin_core> core_;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_ADMIN_SERVER_H_
