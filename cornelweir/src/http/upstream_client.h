#ifndef CORNELWEIR_SRC_HTTP_UPSTREAM_CLIENT_H_
#define CORNELWEIR_SRC_HTTP_UPSTREAM_CLIENT_H_

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
class upstream_connection;
class upstream_core;
}  // namespace internal

// What a response turns out to be.
enum class response_match : std::uint8_t {
  // The response to the request.
  kMatched,
  // A late response to an earlier request; the right one may follow on the connection.
  kStale,
  // Nothing that can be used. The connection is closed.
  kUnusable,
};

// How an exchange with an upstream ended.
enum class upstream_status : std::uint8_t {
  kResponse,
  // No byte of the request was sent.
  kNotSent,
  // The connection broke, or the response can't be used. The request may have run.
  kBroken,
  // No response in time. The request may have run.
  kTimeout,
};

struct upstream_result {
  upstream_status status = upstream_status::kNotSent;
  whole_response response;
};

// Bounds of the connections to one upstream.
struct upstream_limits {
  // Below the idle timeout of most servers, so that this side usually closes first.
  kernel::milliseconds idle_timeout{4'000};
  kernel::milliseconds connect_timeout{500};
  std::size_t header_bytes = std::size_t{16} << 10;
  std::uint64_t body_bytes = std::uint64_t{64} << 20;
};

class upstream_client;

// One request that is being sent to an upstream.
class upstream_exchange {
 public:
  using match_callback = std::function<response_match(const whole_response&)>;
  using done_callback = std::function<void(upstream_result)>;

  // Gives the exchange up: its connection is closed, and done is not called.
  void Cancel();

 private:
  friend class internal::upstream_connection;
  friend class upstream_client;

  std::weak_ptr<internal::upstream_connection> connection_;
  match_callback use_;
  done_callback done_;
  bool over_ = false;
};

// Sends requests to one upstream over kept connections, one request at a time on each, and takes
// whole responses. A response that was cut, or bytes that belong to no request, end the connection.
class upstream_client {
 public:
  upstream_client(loop::event_loop& loop, upstream_limits limits);
  upstream_client(const upstream_client&) = delete;
  upstream_client& operator=(const upstream_client&) = delete;
  // Only running out of memory throws, which ends the process.
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~upstream_client();

  // Later requests go here. Idle connections to another endpoint are closed.
  void SetEndpoint(const kernel::endpoint& endpoint);
  // Closes the idle connections: what is at their other end is gone.
  void CloseIdleConnections();

  std::shared_ptr<upstream_exchange> Send(const whole_request& request,
                                          kernel::microseconds timeout,
                                          upstream_exchange::match_callback use,
                                          upstream_exchange::done_callback done);

  // Connections opened since the start.
  std::uint64_t opened_connections() const;

 private:
  std::shared_ptr<internal::upstream_core> core_;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_UPSTREAM_CLIENT_H_
