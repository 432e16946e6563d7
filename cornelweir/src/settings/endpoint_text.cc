#include "cornelweir/src/settings/endpoint_text.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string>

namespace cornelweir::settings {

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (status != std::errc{} || end != digits.data() + digits.size()) return std::nullopt;
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(host), error);
  if (error || address.is_v6() != bracketed) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(address, port);
}

kernel::endpoint WithPort(const kernel::endpoint& endpoint, std::string_view port) {
  const std::string& text = endpoint.value();
  return kernel::endpoint(text.substr(0, text.rfind(':') + 1).append(port));
}

std::string_view PortOf(const kernel::endpoint& endpoint) {
  const std::string_view text = endpoint.value();
  return text.substr(text.rfind(':') + 1);
}

}  // namespace cornelweir::settings
