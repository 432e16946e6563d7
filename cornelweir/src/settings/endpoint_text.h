#ifndef CORNELWEIR_SRC_SETTINGS_ENDPOINT_TEXT_H_
#define CORNELWEIR_SRC_SETTINGS_ENDPOINT_TEXT_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::settings {

// Reads "127.0.0.1:8080" or "[::1]:8080". Host names are refused: an address must not depend on a
// name service.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text);

// The same address with another port.
kernel::endpoint WithPort(const kernel::endpoint& endpoint, std::string_view port);
// The port of an endpoint, as text.
std::string_view PortOf(const kernel::endpoint& endpoint);

}  // namespace cornelweir::settings

#endif  // CORNELWEIR_SRC_SETTINGS_ENDPOINT_TEXT_H_
