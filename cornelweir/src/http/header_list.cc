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
  std::vector<std::string> listed_names;
  for (auto [iterator, end] = headers.equal_range(beast::http::field::connection); iterator != end;
       ++iterator) {
    for (const auto& token : beast::http::token_list(iterator->value())) {
      // A caller must not be able to remove the mandatory Host header.
      if (!beast::iequals(token, "host")) listed_names.emplace_back(token);
    }
  }
  for (const std::string& name : listed_names) headers.erase(name);
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
