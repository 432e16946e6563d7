#ifndef CORNELWEIR_SRC_HTTP_ENDPOINT_ADDRESS_H_
#define CORNELWEIR_SRC_HTTP_ENDPOINT_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/leaf.hpp>

#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::http {

// Parses "127.0.0.1:8080" or "[::1]:8080". Host names are not resolved. Errors carry an http_error.
boost::leaf::result<boost::asio::ip::tcp::endpoint> ParseEndpoint(const kernel::endpoint& endpoint);

// The inverse of ParseEndpoint().
kernel::endpoint FormatEndpoint(const boost::asio::ip::tcp::endpoint& address);

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_ENDPOINT_ADDRESS_H_
