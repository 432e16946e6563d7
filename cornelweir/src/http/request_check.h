#ifndef CORNELWEIR_SRC_HTTP_REQUEST_CHECK_H_
#define CORNELWEIR_SRC_HTTP_REQUEST_CHECK_H_

#include <boost/asio/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <optional>
#include <string_view>

#include "cornelweir/src/http/status_code.h"

namespace cornelweir::http::internal {

// The reason to refuse a request before it is routed; without a status if there is none.
struct request_fault {
  std::optional<status_code> status;
  std::string_view reason;
};

inline bool IsSupportedMethod(boost::beast::http::verb method) {
  using boost::beast::http::verb;
  switch (method) {
    case verb::get:
    case verb::head:
    case verb::post:
    case verb::put:
    case verb::patch:
    case verb::delete_:
    case verb::options:
      return true;
    default:
      return false;
  }
}

inline bool IsParserError(const boost::system::error_code& error) {
  namespace beast_http = boost::beast::http;
  return error.category() == beast_http::make_error_code(beast_http::error::bad_version).category();
}

// Returns the response status for a request that can't be read, or nullopt if the caller
// disconnected.
inline std::optional<status_code> StatusOfReadError(const boost::system::error_code& error) {
  using parser_error = boost::beast::http::error;
  if (error == parser_error::header_limit || error == parser_error::buffer_overflow) {
    return status_code(431);
  }
  if (error == parser_error::body_limit) return status_code(413);
  if (error == boost::asio::error::timed_out) return status_code(408);
  if (error == parser_error::partial_message || !IsParserError(error)) return std::nullopt;
  return status_code(400);
}

// Checks a header that the parser has accepted. Ambiguous framing is refused because the next
// server might see a different end of the request (request smuggling).
template <class Message>
request_fault CheckRequestHead(const Message& message) {
  namespace beast = boost::beast;
  using field = boost::beast::http::field;
  if (message.version() != 11) return {status_code(505), "only HTTP/1.1 is served"};
  if (!IsSupportedMethod(message.method())) return {status_code(400), "unsupported method"};
  if (message.target().empty() || message.target().front() != '/') {
    return {status_code(400), "the target must be a path"};
  }
  if (message.count(field::host) != 1) return {status_code(400), "one host header is required"};
  const auto lengths = message.count(field::content_length);
  const auto encodings = message.count(field::transfer_encoding);
  if (lengths + encodings > 1) return {status_code(400), "conflicting body lengths"};
  if (encodings == 1 && !beast::iequals(message[field::transfer_encoding], "chunked")) {
    return {status_code(400), "unsupported transfer encoding"};
  }
  if (message.count(field::expect) > 0 && !beast::iequals(message[field::expect], "100-continue")) {
    return {status_code(417), "unsupported expectation"};
  }
  return {};
}

}  // namespace cornelweir::http::internal

#endif  // CORNELWEIR_SRC_HTTP_REQUEST_CHECK_H_
