#ifndef CORNELWEIR_SRC_HTTP_RESPONSE_CHECK_H_
#define CORNELWEIR_SRC_HTTP_RESPONSE_CHECK_H_

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/system/error_code.hpp>

#include "cornelweir/src/http/http_error.h"
#include "cornelweir/src/http/request_check.h"
#include "cornelweir/src/http/status_code.h"

namespace cornelweir::http::internal {

// Checks the header of a response, interim or final, that the parser has accepted. Returns why the
// response can't be used, or no error.
template <class Message>
boost::system::error_code CheckResponseHead(const Message& message) {
  namespace beast = boost::beast;
  using beast::http::error;
  using beast::http::field;
  constexpr status_code kSwitchingProtocols = 101;
  const auto status = status_code::Parse(message.result_int());
  // No request asks for an upgrade, so the bytes after such a response have no meaning.
  if (!status || *status == kSwitchingProtocols) return error::bad_status;
  const auto lengths = message.count(field::content_length);
  const auto encodings = message.count(field::transfer_encoding);
  if (lengths + encodings > 1) return error::multiple_content_length;
  // Another coding would be lost, since Transfer-Encoding is a hop-by-hop header.
  if (encodings == 1 && !beast::iequals(message[field::transfer_encoding], "chunked")) {
    return error::bad_transfer_encoding;
  }
  return {};
}

// Returns why a response could not be read.
inline http_fault FaultOfReadError(const boost::system::error_code& error) {
  using parser_error = boost::beast::http::error;
  if (error == parser_error::body_limit || error == parser_error::header_limit) {
    return http_fault::kTooLarge;
  }
  const bool malformed = IsParserError(error) && error != parser_error::partial_message;
  return malformed ? http_fault::kMalformed : http_fault::kConnectionBroken;
}

}  // namespace cornelweir::http::internal

#endif  // CORNELWEIR_SRC_HTTP_RESPONSE_CHECK_H_
