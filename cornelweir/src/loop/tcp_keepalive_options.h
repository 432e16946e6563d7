#ifndef CORNELWEIR_SRC_LOOP_TCP_KEEPALIVE_OPTIONS_H_
#define CORNELWEIR_SRC_LOOP_TCP_KEEPALIVE_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace cornelweir::loop {

// Limits after which the kernel closes a TCP connection to an unresponsive peer.
struct tcp_keepalive_options {
  // Longest time for which sent data may remain unacknowledged (TCP_USER_TIMEOUT).
  int user_timeout_ms = 0;
  // Idle time before the first keepalive probe (TCP_KEEPIDLE).
  int keepalive_idle_s = 0;
  // Time between two keepalive probes (TCP_KEEPINTVL).
  int keepalive_interval_s = 0;
  // Number of unanswered probes after which the connection is closed (TCP_KEEPCNT).
  int max_keepalive_probes = 0;
};

// Enables keepalive with these options and disables Nagle's algorithm (TCP_NODELAY). Options that
// the system rejects are ignored.
void ConfigureTcpSocket(boost::asio::ip::tcp::socket& socket, const tcp_keepalive_options& options);

}  // namespace cornelweir::loop

#endif  // CORNELWEIR_SRC_LOOP_TCP_KEEPALIVE_OPTIONS_H_
