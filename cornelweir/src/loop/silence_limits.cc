#include "cornelweir/src/loop/silence_limits.h"

#include <netinet/tcp.h>

#include <boost/asio/detail/socket_option.hpp>

namespace cornelweir::loop {
namespace {

template <int kOption>
using tcp_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, kOption>;

}  // namespace

void LimitSilence(boost::asio::ip::tcp::socket& socket, const silence_limits& limits) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(tcp_option<TCP_USER_TIMEOUT>(limits.unacknowledged_ms), ignored);
  socket.set_option(tcp_option<TCP_KEEPIDLE>(limits.probe_after_s), ignored);
  socket.set_option(tcp_option<TCP_KEEPINTVL>(limits.probe_interval_s), ignored);
  socket.set_option(tcp_option<TCP_KEEPCNT>(limits.probes), ignored);
}

}  // namespace cornelweir::loop
