#ifndef CORNELWEIR_SRC_SETTINGS_ENDPOINT_TEXT_H_
#define CORNELWEIR_SRC_SETTINGS_ENDPOINT_TEXT_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace cornelweir::settings {

// Reads "127.0.0.1:8080" or "[::1]:8080". Host names are refused: an address must not depend on a
// name service.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text);

}  // namespace cornelweir::settings

#endif  // CORNELWEIR_SRC_SETTINGS_ENDPOINT_TEXT_H_
