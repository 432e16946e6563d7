#ifndef CORNELWEIR_SRC_HTTP_UPSTREAM_CLIENT_H_
#define CORNELWEIR_SRC_HTTP_UPSTREAM_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "cornelweir/src/http/limits.h"
#include "cornelweir/src/http/whole_message.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/loop/event_loop.h"
#include "cornelweir/src/memory/memory_account.h"

namespace cornelweir::http {

namespace internal {
class upstream_connection;
class upstream_pool;
}  // namespace internal

// How a response relates to the request in progress.
enum class response_match : std::uint8_t {
  // The response to the request.
  kMatched,
  // A late response to an earlier request; the matching one may follow on the connection.
  kStale,
  // An unusable response. The connection is closed.
  kUnusable,
};

// The result of an exchange with an upstream.
enum class upstream_status : std::uint8_t {
  kResponse,
  // No byte of the request was sent.
  kNotSent,
  // The connection failed, or the response is unusable. The request may have run.
  kBroken,
  // No response before the timeout. The request may have run.
  kTimeout,
};

// The result of an exchange. response is set if and only if status is kResponse.
struct upstream_result {
  upstream_status status = upstream_status::kNotSent;
  std::optional<whole_response> response;
};

// Limits of the connections to one upstream.
struct upstream_limits {
  // Shorter than the idle timeout of most servers, so that the client usually closes first.
  kernel::milliseconds idle_timeout{4'000};
  kernel::milliseconds connect_timeout{500};
  std::size_t header_bytes = kMaxHeaderBytes;
  // Largest body of a response.
  std::size_t body_bytes = kMaxBufferedBodyBytes;
};

class upstream_client;

// One request to an upstream, in progress.
class upstream_exchange {
 public:
  using match_callback = std::function<response_match(const whole_response&)>;
  using done_callback = std::function<void(upstream_result)>;

  // Cancels the exchange: closes its connection; the done callback is not called.
  void Cancel();

 private:
  friend class internal::upstream_connection;
  friend class upstream_client;

  std::weak_ptr<internal::upstream_connection> connection_;
  match_callback match_;
  done_callback done_;
  bool finished_ = false;
};

// Sends requests to one upstream over persistent connections, one request at a time on each, and
// buffers whole responses. Truncated responses and unexpected bytes close the connection. The body
// of a response is taken from the account before it is read; while there is no room, it is not
// read, and the exchange may time out.
class upstream_client {
 public:
  upstream_client(loop::event_loop& loop, upstream_limits limits,
                  std::shared_ptr<memory::memory_account> account);
  upstream_client(const upstream_client&) = delete;
  upstream_client& operator=(const upstream_client&) = delete;
  // Throws only if memory is exhausted, which terminates the process.
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~upstream_client();

  // Sets the endpoint of later requests. A changed endpoint closes the idle connections.
  void SetEndpoint(const kernel::endpoint& endpoint);
  // Closes the idle connections, for use after the upstream was replaced.
  void CloseIdleConnections();

  // Calls done once unless the exchange is cancelled. match classifies each final response that
  // arrives for the request.
  std::shared_ptr<upstream_exchange> Send(const whole_request& request,
                                          kernel::microseconds timeout,
                                          upstream_exchange::match_callback match,
                                          upstream_exchange::done_callback done);

  // Number of connections opened since construction.
  std::uint64_t opened_connections() const;

 private:
  std::shared_ptr<internal::upstream_pool> pool_;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_UPSTREAM_CLIENT_H_
