#ifndef CORNELWEIR_SRC_LOOP_TCP_KEEPALIVE_OPTIONS_H_
#define CORNELWEIR_SRC_LOOP_TCP_KEEPALIVE_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace cornelweir::loop {

// When a connection counts as dead although nobody closed it.
struct tcp_keepalive_options {
  // How long sent bytes may stay unacknowledged.
  int user_timeout_ms = 0;
  // An idle connection is probed after this time, then at the interval, and ends after so many
  // unanswered probes.
  int keepalive_idle_s = 0;
  int keepalive_interval_s = 0;
  int max_keepalive_probes = 0;
};

// Applies the options, and lets small messages go at once.
void ConfigureTcpSocket(boost::asio::ip::tcp::socket& socket, const tcp_keepalive_options& options);

}  // namespace cornelweir::loop

#endif  // CORNELWEIR_SRC_LOOP_TCP_KEEPALIVE_OPTIONS_H_
