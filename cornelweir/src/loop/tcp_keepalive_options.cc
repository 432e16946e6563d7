#include "cornelweir/src/loop/tcp_keepalive_options.h"

#include <netinet/tcp.h>

#include <boost/asio/detail/socket_option.hpp>

namespace cornelweir::loop {
namespace {

template <int kOption>
using tcp_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, kOption>;

}  // namespace

void ConfigureTcpSocket(boost::asio::ip::tcp::socket& socket,
                        const tcp_keepalive_options& options) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(tcp_option<TCP_USER_TIMEOUT>(options.user_timeout_ms), ignored);
  socket.set_option(tcp_option<TCP_KEEPIDLE>(options.keepalive_idle_s), ignored);
  socket.set_option(tcp_option<TCP_KEEPINTVL>(options.keepalive_interval_s), ignored);
  socket.set_option(tcp_option<TCP_KEEPCNT>(options.max_keepalive_probes), ignored);
}

}  // namespace cornelweir::loop
