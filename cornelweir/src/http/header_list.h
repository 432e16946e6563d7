#ifndef CORNELWEIR_SRC_HTTP_HEADER_LIST_H_
#define CORNELWEIR_SRC_HTTP_HEADER_LIST_H_

#include <boost/beast/http/fields.hpp>
#include <string_view>

namespace cornelweir::http {

// The headers of one message. Names are case-insensitive.
using header_list = boost::beast::http::fields;

// Returns the value of the first header with this name, or an empty string.
inline std::string_view HeaderValue(const header_list& headers, std::string_view name) {
  const auto found = headers.find(name);
  if (found == headers.end()) return {};
  return {found->value().data(), found->value().size()};
}

// Adds each header of changes, replacing existing headers with the same name.
void SetHeaders(header_list& headers, const header_list& changes);

// Removes hop-by-hop headers (RFC 9110, section 7.6.1), Expect and Transfer-Encoding; the sender
// frames each message anew.
void RemoveHopByHopHeaders(header_list& headers);

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_HEADER_LIST_H_
