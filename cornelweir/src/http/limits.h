#ifndef CORNELWEIR_SRC_HTTP_LIMITS_H_
#define CORNELWEIR_SRC_HTTP_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/loop/tcp_keepalive_options.h"

namespace cornelweir::http {

inline constexpr std::size_t kMaxHeaderBytes = std::size_t{16} << 10;
// Bytes of a body held for one direction of a forwarded request.
inline constexpr std::size_t kStreamBufferBytes = std::size_t{16} << 10;
// A request body up to this size is kept for a second attempt.
inline constexpr std::size_t kMaxRetainedBodyBytes = std::size_t{64} << 10;
// Largest copy of the start of a response body that a handler can ask for. It matches the largest
// body that is stored with an idempotency key.
inline constexpr std::size_t kMaxBodyPrefixBytes = std::size_t{4} << 10;
inline constexpr std::size_t kMaxAdminBodyBytes = std::size_t{1} << 20;
// A server that sends more interim (1xx) responses than this to one request is cut off.
inline constexpr int kMaxInterimResponses = 8;

// When a connection of a caller or to an upstream counts as dead.
inline constexpr loop::tcp_keepalive_options kTcpKeepaliveOptions{.user_timeout_ms = 2'000,
                                                                  .keepalive_idle_s = 5,
                                                                  .keepalive_interval_s = 1,
                                                                  .max_keepalive_probes = 3};

// Bounds of a server for callers. The defaults are those of the daemon; tests set shorter ones.
struct proxy_limits {
  std::size_t connections = 4096;
  std::size_t header_bytes = kMaxHeaderBytes;
  std::uint64_t body_bytes = std::uint64_t{64} << 20;
  // From the first byte of a request to the end of its header, and between two reads of a body.
  kernel::microseconds read_timeout = std::chrono::seconds(10);
  kernel::microseconds write_timeout = std::chrono::seconds(10);
  kernel::microseconds idle_timeout = std::chrono::seconds(60);
  // How long a connection is read after the last response, so that a reset does not destroy a
  // response that the caller has not read yet.
  kernel::microseconds linger_timeout = std::chrono::seconds(1);
};

// Bounds of the connections to each endpoint.
struct pool_limits {
  std::size_t connections = 100;
  std::size_t waiters = 256;
  kernel::microseconds wait_timeout = std::chrono::seconds(1);
  kernel::microseconds connect_timeout = std::chrono::seconds(1);
  // Below the idle timeout of the servers, so that this side usually closes first.
  kernel::microseconds idle_timeout = std::chrono::seconds(30);
};

// Bounds of a server for small messages.
struct admin_limits {
  std::size_t connections = 256;
  std::size_t header_bytes = kMaxHeaderBytes;
  std::size_t body_bytes = kMaxAdminBodyBytes;
  kernel::microseconds read_timeout = std::chrono::seconds(10);
  kernel::microseconds idle_timeout = std::chrono::seconds(60);
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_LIMITS_H_
