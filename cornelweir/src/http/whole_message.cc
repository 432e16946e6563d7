#include "cornelweir/src/http/whole_message.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>

namespace cornelweir::http {

std::string_view FindHeader(const header_pairs& headers, std::string_view name) {
  for (const auto& [candidate, value] : headers) {
    if (boost::beast::iequals(candidate, name)) return value;
  }
  return {};
}

bool IsHopByHopHeader(std::string_view name) {
  static constexpr std::array<std::string_view, 10> kHopHeaders{"connection",
                                                                "keep-alive",
                                                                "proxy-connection",
                                                                "te",
                                                                "trailer",
                                                                "transfer-encoding",
                                                                "content-length",
                                                                "upgrade",
                                                                "proxy-authorization",
                                                                "expect"};
  return std::any_of(kHopHeaders.begin(), kHopHeaders.end(),
                     [&](std::string_view hop) { return boost::beast::iequals(name, hop); });
}

}  // namespace cornelweir::http
