#ifndef CORNELWEIR_SRC_HTTP_RESPONSE_PARSER_H_
#define CORNELWEIR_SRC_HTTP_RESPONSE_PARSER_H_

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <string_view>
#include <utility>

#include "cornelweir/src/http/message_parser.h"
#include "cornelweir/src/http/response_check.h"

namespace cornelweir::http {

// How far the request that a response belongs to was written.
enum class request_progress : std::uint8_t {
  // Not written as a whole: it is being written, or its write has failed.
  kPartlyWritten,
  kWritten,
};

// Parses one response. It decides for all readers what a valid and complete response is.
template <class Body>
class response_parser : public internal::message_parser<false, Body> {
  using base = internal::message_parser<false, Body>;
  using header = boost::beast::http::response_header<>;

 public:
  using base::base;

  // As message_parser::Put(). A response that can't be used is an error once its header is there.
  std::size_t Put(std::string_view bytes, boost::system::error_code& error) {
    const bool in_head = !this->is_header_done();
    const std::size_t consumed = base::Put(bytes, error);
    if (in_head && this->is_header_done() && !error) {
      error = internal::CheckResponseHead(this->get());
      header_ = std::move(this->get().base());
    }
    return consumed;
  }

  // The header, without the fields of a trailer, which must not be merged into it (RFC 9110,
  // section 6.5.1). Those are in get(). The owner may move from it.
  header& head() { return header_; }

  // Requires that the header was taken without an error.
  status_code status() const { return status_code::Parse(header_.result_int()).value(); }

  // Ends the response with its connection. Only a response without a length is complete then, and
  // only if the request was written as a whole: the kernel reports a reset once, so if the write
  // gets the error, the read sees an ordinary end.
  void PutEnd(request_progress request, boost::system::error_code& error) {
    if (!this->is_header_done() || !this->need_eof() || request != request_progress::kWritten) {
      error = boost::beast::http::error::partial_message;
      return;
    }
    this->put_eof(error);
  }

 private:
  header header_;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_RESPONSE_PARSER_H_
