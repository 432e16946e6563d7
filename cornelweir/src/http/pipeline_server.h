#ifndef CORNELWEIR_SRC_HTTP_PIPELINE_SERVER_H_
#define CORNELWEIR_SRC_HTTP_PIPELINE_SERVER_H_

#include <boost/leaf.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "cornelweir/src/http/whole_message.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/loop/event_loop.h"

namespace cornelweir::http {

namespace internal {
class pipeline_connection;
class pipeline_core;
}  // namespace internal

// Bounds of a server that reads ahead.
struct pipeline_limits {
  std::size_t connections = 3'000;
  std::size_t header_bytes = std::size_t{16} << 10;
  std::uint64_t body_bytes = std::uint64_t{64} << 20;
  kernel::milliseconds header_timeout{10'000};
  // Between two pieces of a body.
  kernel::milliseconds body_timeout{10'000};
  kernel::milliseconds idle_timeout{60'000};
};

// One request of a caller, to be answered once. An answer to a caller that has gone is dropped.
class pipeline_request : public std::enable_shared_from_this<pipeline_request> {
 public:
  pipeline_request(std::weak_ptr<internal::pipeline_connection> connection, whole_request message)
      : message(std::move(message)),
        connection_(std::move(connection)),
        is_head_(this->message.method == "HEAD") {}

  // The handler may take it apart.
  whole_request message;

  void Respond(whole_response response);
  bool answered() const { return answered_; }
  // Called at most once, when the caller goes before the request is answered.
  void OnCallerGone(std::function<void()> callback) { on_gone_ = std::move(callback); }

 private:
  friend class internal::pipeline_connection;

  std::weak_ptr<internal::pipeline_connection> connection_;
  std::function<void()> on_gone_;
  // Kept apart from the message, since the answer to HEAD has no body.
  bool is_head_;
  bool answered_ = false;
  whole_response response_;
};

// Serves callers that may send further requests before the first one is answered. Requests are
// handed out as they arrive and answered in their order. Bodies are read as a whole.
class pipeline_server {
 public:
  using handler = std::function<void(const std::shared_ptr<pipeline_request>&)>;
  // The response to a request that can't be served, by status and reason.
  using refusal = std::function<whole_response(int status, std::string_view reason)>;

  pipeline_server(loop::event_loop& loop, handler handle, refusal refuse);
  pipeline_server(const pipeline_server&) = delete;
  pipeline_server& operator=(const pipeline_server&) = delete;
  ~pipeline_server();

  // Port 0 asks the system for a free port. Errors carry an http_error.
  boost::leaf::result<void> Listen(const kernel::endpoint& endpoint);
  kernel::endpoint local_endpoint() const;

  // Takes effect for what is read from now on.
  void SetLimits(const pipeline_limits& limits);

  // Announces with each response that the connection ends after it.
  void DisableKeepAlive();
  // Stops accepting, closes idle connections and calls done when every request is answered.
  void BeginDrain(std::function<void()> done);

  std::size_t connections() const;

 private:
  std::shared_ptr<internal::pipeline_core> core_;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_PIPELINE_SERVER_H_
