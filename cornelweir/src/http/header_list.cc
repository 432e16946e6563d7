#include "cornelweir/src/http/header_list.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <string>
#include <vector>

namespace cornelweir::http {

void SetHeaders(header_list& headers, const header_list& changes) {
  for (const auto& change : changes) headers.erase(change.name_string());
  for (const auto& change : changes) headers.insert(change.name_string(), change.value());
}

void RemoveHopByHopHeaders(header_list& headers) {
  namespace beast = boost::beast;
  std::vector<std::string> named;
  for (auto [at, end] = headers.equal_range(beast::http::field::connection); at != end; ++at) {
    for (const auto& token : beast::http::token_list(at->value())) {
      // A caller can't take away the header that every request must have.
      if (!beast::iequals(token, "host")) named.emplace_back(token);
    }
  }
  for (const std::string& name : named) headers.erase(name);
  for (const auto name :
       {beast::http::field::connection, beast::http::field::keep_alive,
        beast::http::field::proxy_connection, beast::http::field::proxy_authenticate,
        beast::http::field::proxy_authorization, beast::http::field::te,
        beast::http::field::trailer, beast::http::field::transfer_encoding,
        beast::http::field::upgrade, beast::http::field::expect}) {
    headers.erase(name);
  }
}

}  // namespace cornelweir::http
