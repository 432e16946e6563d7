#ifndef CORNELWEIR_SRC_HTTP_MESSAGE_PARSER_H_
#define CORNELWEIR_SRC_HTTP_MESSAGE_PARSER_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "cornelweir/src/http/line_folding.h"

namespace cornelweir::http::internal {

// Parses one HTTP/1.1 message. The header is taken as a whole, so that its bytes can be checked
// before they are interpreted.
template <bool is_request, class Body>
class message_parser : protected boost::beast::http::parser<is_request, Body> {
  using base = boost::beast::http::parser<is_request, Body>;

 public:
  using base::body_limit;
  using base::chunked;
  using base::content_length;
  using base::eager;
  using base::get;
  using base::is_done;
  using base::is_header_done;
  using base::keep_alive;
  using base::skip;

  // A header of more than header_bytes is refused.
  explicit message_parser(std::size_t header_bytes) : header_bytes_(header_bytes) {
    base::header_limit(static_cast<std::uint32_t>(header_bytes));
  }

  // Parses the bytes and returns how many were consumed; the next call begins with those that were
  // not. The error is need_more if none of an incomplete header was consumed.
  std::size_t Put(std::string_view bytes, boost::system::error_code& error) {
    if (is_header_done()) return base::put(boost::asio::buffer(bytes), error);
    return PutHead(bytes, error);
  }

 private:
  std::size_t PutHead(std::string_view bytes, boost::system::error_code& error) {
    namespace beast_http = boost::beast::http;
    constexpr std::string_view kEnd = "\r\n\r\n";
    const std::size_t end = bytes.find(kEnd, scanned_bytes_);
    const bool complete = end != std::string_view::npos;
    const std::size_t size = complete ? end + kEnd.size() : bytes.size();
    if (size > header_bytes_ || (!complete && size == header_bytes_)) {
      error = beast_http::error::header_limit;
      return 0;
    }
    if (!complete) {
      scanned_bytes_ = size < kEnd.size() ? 0 : size - kEnd.size() + 1;
      error = beast_http::error::need_more;
      return 0;
    }
    const std::string_view head = bytes.substr(0, size);
    if (HasLineFolding(head)) {
      error = beast_http::error::bad_value;
      return 0;
    }
    const std::size_t consumed = base::put(boost::asio::buffer(head), error);
    if (!error && !is_header_done()) error = beast_http::error::partial_message;
    return consumed;
  }

  std::size_t header_bytes_;
  // Bytes at the start of the header in which its end does not begin.
  std::size_t scanned_bytes_ = 0;
};

}  // namespace cornelweir::http::internal

#endif  // CORNELWEIR_SRC_HTTP_MESSAGE_PARSER_H_
