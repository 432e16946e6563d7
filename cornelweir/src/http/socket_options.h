#ifndef CORNELWEIR_SRC_HTTP_SOCKET_OPTIONS_H_
#define CORNELWEIR_SRC_HTTP_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace cornelweir::http::internal {

// Lets small messages go at once, and ends a connection whose other side has fallen silent: by the
// time that sent bytes may stay unacknowledged, and by probes while it is idle.
void SetConnectionOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace cornelweir::http::internal

#endif  // CORNELWEIR_SRC_HTTP_SOCKET_OPTIONS_H_
