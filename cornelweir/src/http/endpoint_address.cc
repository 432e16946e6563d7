#include "cornelweir/src/http/endpoint_address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

#include "cornelweir/src/http/http_error.h"

namespace cornelweir::http {

boost::leaf::result<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const kernel::endpoint& endpoint) {
  const auto fail = [] { return boost::leaf::new_error(http_error{http_fault::kBadEndpoint}); };
  const std::string_view text = endpoint.value();
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return fail();
  std::string_view host = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) return fail();
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(host), error);
  if (error) return fail();
  return boost::asio::ip::tcp::endpoint(address, port);
}

kernel::endpoint FormatEndpoint(const boost::asio::ip::tcp::endpoint& address) {
  std::ostringstream text;
  text << address;
  return kernel::endpoint(text.str());
}

}  // namespace cornelweir::http
