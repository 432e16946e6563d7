#include "cornelweir/src/http/socket_options.h"

#include <netinet/tcp.h>

#include <boost/asio/detail/socket_option.hpp>

namespace cornelweir::http::internal {
namespace {

// Unacknowledged bytes and unanswered probes end a connection within these times.
constexpr int kUserTimeoutMs = 2'000;
constexpr int kProbeAfterSeconds = 5;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbes = 3;

template <int kOption>
using tcp_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, kOption>;

}  // namespace

void SetConnectionOptions(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(tcp_option<TCP_USER_TIMEOUT>(kUserTimeoutMs), ignored);
  socket.set_option(tcp_option<TCP_KEEPIDLE>(kProbeAfterSeconds), ignored);
  socket.set_option(tcp_option<TCP_KEEPINTVL>(kProbeIntervalSeconds), ignored);
  socket.set_option(tcp_option<TCP_KEEPCNT>(kProbes), ignored);
}

}  // namespace cornelweir::http::internal
