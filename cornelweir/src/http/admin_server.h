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

namespace cornelweir::http {

struct admin_request {
  http::method method = http::method::get;
  std::string target;
  std::string body;
  header_list headers;

  // The value of a header, or an empty text.
  std::string_view Header(std::string_view name) const { return HeaderValue(headers, name); }
};

struct admin_response {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  header_list headers = {};
};

namespace internal {
class admin_core;
class admin_session;
}  // namespace internal

// Answers one request, now or later, exactly once; further calls do nothing. A request whose reply
// is dropped without a call is answered 500.
class admin_reply {
 public:
  explicit admin_reply(std::shared_ptr<internal::admin_session> session);
  admin_reply(admin_reply&&) noexcept = default;
  admin_reply& operator=(admin_reply&&) = delete;
  admin_reply(const admin_reply&) = delete;
  admin_reply& operator=(const admin_reply&) = delete;
  // Only running out of memory throws, which ends the process.
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~admin_reply();

  void operator()(admin_response response);

 private:
  std::shared_ptr<internal::admin_session> session_;
};

// Serves small messages: administration and announcements. Bodies are read as a whole.
class admin_server {
 public:
  using handler = std::function<void(const admin_request&, admin_reply)>;

  explicit admin_server(loop::event_loop& loop, admin_limits limits = {});
  admin_server(const admin_server&) = delete;
  admin_server& operator=(const admin_server&) = delete;
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~admin_server();

  // Requests with this method whose path begins with path_prefix go to the handler. The longest
  // prefix wins. A path that has handlers for other methods only is answered 405.
  void Handle(http::method method, std::string_view path_prefix, handler handle);

  // Port 0 asks the system for a free port. Errors carry an http_error.
  boost::leaf::result<void> Listen(const kernel::endpoint& endpoint);
  kernel::endpoint local_endpoint() const;

  // Stops accepting, closes idle connections and calls done when each request is answered.
  void BeginDrain(std::function<void()> done);

 private:
  std::shared_ptr<internal::admin_core> core_;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_ADMIN_SERVER_H_
