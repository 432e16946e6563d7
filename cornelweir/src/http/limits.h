#ifndef CORNELWEIR_SRC_HTTP_LIMITS_H_
#define CORNELWEIR_SRC_HTTP_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/loop/tcp_keepalive_options.h"

namespace cornelweir::http {

inline constexpr std::size_t kMaxHeaderBytes = std::size_t{16} << 10;
// Body bytes buffered for one direction of a forwarded request.
inline constexpr std::size_t kStreamBufferBytes = std::size_t{16} << 10;
// A request body up to this size is retained for further attempts.
inline constexpr std::size_t kMaxRetainedBodyBytes = std::size_t{64} << 10;
// Counted for the header and the stream buffers of each request in progress. The buffers are only
// as large as what they contain, and most headers have less than 1 KiB.
inline constexpr std::size_t kForwardedRequestBytes = std::size_t{16} << 10;
// Largest copy of the start of a response body that a handler can request. Equal to the largest
// body that is stored with an idempotency key.
inline constexpr std::size_t kMaxBodyPrefixBytes = std::size_t{4} << 10;
// Default limit of a body that admin_server or client buffers.
inline constexpr std::size_t kMaxAdminBodyBytes = std::size_t{1} << 20;
// Largest body that is buffered whole, and the largest sum of the bodies that one server or client
// buffers at a time. The smallest hosts give a daemon 160 MB.
inline constexpr std::size_t kMaxBufferedBodyBytes = std::size_t{16} << 20;
inline constexpr std::size_t kMaxTotalBufferedBodyBytes = std::size_t{32} << 20;
// No further request of a connection is dispatched while its responses that are not written exceed
// this, so that a caller that reads little holds a bounded part of the memory.
inline constexpr std::size_t kMaxConnectionResponseBytes = std::size_t{1} << 20;
// A caller that takes less than this (or all that is left) in this time while a response is being
// written is too slow. It would hold the response for minutes.
inline constexpr std::size_t kMinWriteProgressBytes = std::size_t{64} << 10;
inline constexpr kernel::milliseconds kWriteProgressTime{10'000};
// While memory is scarce, the responses that have been written for longer than this may be given
// up. A caller inside its limits takes its response within this time.
inline constexpr kernel::milliseconds kMinSlowReadTime{1'000};
// The connection is closed if a server sends more interim (1xx) responses than this to one request.
inline constexpr int kMaxInterimResponses = 8;
// The same for late responses to earlier requests.
inline constexpr int kMaxStaleResponses = 8;

// Names a request. A server that returns it allows a proxy to tell whose response it has received.
inline constexpr std::string_view kRequestIdHeader = "x-request-id";

// Detection of unresponsive peers on connections of callers and to upstreams.
inline constexpr loop::tcp_keepalive_options kTcpKeepaliveOptions{.user_timeout_ms = 2'000,
                                                                  .keepalive_idle_s = 5,
                                                                  .keepalive_interval_s = 1,
                                                                  .max_keepalive_probes = 3};

// Limits of the proxy server. The daemon uses the defaults; tests set shorter timeouts.
struct proxy_limits {
  std::size_t connections = 4096;
  std::size_t header_bytes = kMaxHeaderBytes;
  std::uint64_t body_bytes = std::uint64_t{64} << 20;
  // From the first byte of a request to the end of its header, and between two reads of a body.
  kernel::microseconds read_timeout = std::chrono::seconds(10);
  kernel::microseconds write_timeout = std::chrono::seconds(10);
  kernel::microseconds idle_timeout = std::chrono::seconds(60);
  // Time for which input is discarded after the last response, so that a reset does not discard a
  // response that the caller has not read yet.
  kernel::microseconds linger_timeout = std::chrono::seconds(1);
};

// Limits of the connections to each endpoint.
struct pool_limits {
  std::size_t connections = 100;
  std::size_t waiters = 256;
  kernel::microseconds wait_timeout = std::chrono::seconds(1);
  kernel::microseconds connect_timeout = std::chrono::seconds(1);
  // Shorter than the idle timeout of the servers, so that the client usually closes first.
  kernel::microseconds idle_timeout = std::chrono::seconds(30);
};

// Limits of the administration server.
struct admin_limits {
  std::size_t connections = 256;
  std::size_t header_bytes = kMaxHeaderBytes;
  std::size_t body_bytes = kMaxAdminBodyBytes;
  // Largest sum of the bodies that are being read.
  std::size_t total_body_bytes = kMaxTotalBufferedBodyBytes;
  kernel::microseconds read_timeout = std::chrono::seconds(10);
  // See kMinWriteProgressBytes.
  kernel::microseconds write_progress_time = kWriteProgressTime;
  kernel::microseconds idle_timeout = std::chrono::seconds(60);
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_LIMITS_H_
