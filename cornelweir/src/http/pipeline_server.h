#ifndef CORNELWEIR_SRC_HTTP_PIPELINE_SERVER_H_
#define CORNELWEIR_SRC_HTTP_PIPELINE_SERVER_H_

#include <boost/leaf.hpp>
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
class pipeline_connection;
class pipeline_core;
}  // namespace internal

// Limits of a pipeline server.
struct pipeline_limits {
  std::size_t connections = 3'000;
  std::size_t header_bytes = kMaxHeaderBytes;
  // Largest body of a request, and of all requests together that are being read or not answered
  // yet.
  std::uint64_t body_bytes = kMaxBufferedBodyBytes;
  std::size_t total_body_bytes = kMaxTotalBufferedBodyBytes;
  // Largest sum of the responses of one connection that are expected or not written yet, above
  // which no further request of it is dispatched.
  std::size_t connection_response_bytes = kMaxConnectionResponseBytes;
  // The least progress of a caller that a response is written to, in a time.
  std::size_t write_progress_bytes = kMinWriteProgressBytes;
  kernel::milliseconds write_progress_time = kWriteProgressTime;
  // Age of a write from which its connection may be closed because memory is scarce.
  kernel::milliseconds slow_read_time = kMinSlowReadTime;
  kernel::milliseconds header_timeout{10'000};
  // Longest time between two pieces of a body.
  kernel::milliseconds body_timeout{10'000};
  kernel::milliseconds idle_timeout{60'000};
};

// Connections that a server has closed because their callers read too slowly.
struct slow_reader_counts {
  // Because memory was scarce, and they held most for longest.
  std::uint64_t scarce_memory = 0;
  // Because they took too few bytes in a time.
  std::uint64_t no_progress = 0;

  std::uint64_t total() const { return scarce_memory + no_progress; }
};

// Bytes on the connections of a server since its construction.
struct byte_counts {
  std::uint64_t received = 0;
  std::uint64_t sent = 0;
};

// One request of a caller, to be answered once. A response to a disconnected caller is dropped.
class pipeline_request : public std::enable_shared_from_this<pipeline_request> {
 public:
  pipeline_request(std::weak_ptr<internal::pipeline_connection> connection, whole_request message)
      : message(std::move(message)),
        connection_(std::move(connection)),
        is_head_request_(this->message.method == "HEAD"),
        body_bytes_(this->message.body.size()) {}

  // The handler may move from it.
  whole_request message;

  // Sends the response. Calls after the first have no effect.
  void Respond(whole_response response);
  bool answered() const { return answered_; }
  // Counts the expected size of the response for the connection's share until it is answered.
  void ExpectResponse(std::size_t bytes);
  // Calls callback at most once, if the caller disconnects before the request is answered.
  void OnCallerGone(std::function<void()> callback) { on_caller_gone_ = std::move(callback); }

 private:
  friend class internal::pipeline_connection;

  std::weak_ptr<internal::pipeline_connection> connection_;
  std::function<void()> on_caller_gone_;
  // Stored separately, since the handler may move from the message; a response to HEAD has no body.
  bool is_head_request_;
  // The handler may hold the body until it has answered.
  std::size_t body_bytes_;
  std::size_t expected_bytes_ = 0;
  bool answered_ = false;
  std::optional<whole_response> response_;
};

// Serves callers that pipeline requests. Requests are dispatched as they arrive, and responses are
// sent in request order. Bodies are buffered completely.
class pipeline_server {
 public:
  using handler = std::function<void(const std::shared_ptr<pipeline_request>&)>;
  // Builds the response to a request that can't be served.
  using refusal_builder =
      std::function<whole_response(status_code status, std::string_view reason)>;

  pipeline_server(loop::event_loop& loop, handler handle_request, refusal_builder build_refusal);
  pipeline_server(const pipeline_server&) = delete;
  pipeline_server& operator=(const pipeline_server&) = delete;
  ~pipeline_server();

  // Starts to accept connections. Port 0 selects a free port. Errors carry an http_error.
  boost::leaf::result<void> Listen(const kernel::endpoint& endpoint);
  // The bound endpoint, with the port that the system selected; empty before Listen().
  kernel::endpoint local_endpoint() const;

  // Applies to requests read from now on.
  void SetLimits(const pipeline_limits& limits);

  // Makes each connection take one more request at most. The response to the last request that it
  // takes announces Connection: close, after which the connection is closed.
  void DisableKeepAlive();
  // Stops accepting, closes idle connections and calls done once every request is answered.
  void BeginDrain(std::function<void()> done);

  // Sets the account that the holds of the responses belong to. While it is scarce, the connections
  // that hold most for longest are closed.
  void UseMemory(std::shared_ptr<const memory::memory_account> account);
  // Connections closed since construction.
  const slow_reader_counts& slow_readers() const;
  const byte_counts& traffic() const;

  std::size_t connections() const;

 private:
  std::shared_ptr<internal::pipeline_core> core_;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_PIPELINE_SERVER_H_
