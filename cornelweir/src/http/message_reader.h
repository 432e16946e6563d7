#ifndef CORNELWEIR_SRC_HTTP_MESSAGE_READER_H_
#define CORNELWEIR_SRC_HTTP_MESSAGE_READER_H_

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <optional>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "cornelweir/src/http/limits.h"
#include "cornelweir/src/http/message_parser.h"
#include "cornelweir/src/http/response_parser.h"

namespace cornelweir::http::internal {

using boost::system::error_code;

// Reads successive messages from a socket: the header as a whole, the body in pieces of at most
// kStreamBufferBytes. Bytes of the next message stay in the buffer. The owner must keep the reader
// and the socket alive until each callback has run.
template <bool is_request>
class message_reader {
 public:
  using body_type = boost::beast::http::buffer_body;
  using parser =
      std::conditional_t<is_request, message_parser<true, body_type>, response_parser<body_type>>;

  struct piece {
    std::string_view bytes;
    // Whether this is the last piece of the body.
    bool last = false;
  };

  message_reader(boost::asio::ip::tcp::socket& socket, std::size_t header_bytes)
      : socket_(socket),
        header_bytes_(header_bytes),
        buffer_(std::max(header_bytes, kStreamBufferBytes)) {}

  // Starts a message. A body larger than body_limit fails with error::body_limit. skip_body is for
  // responses to HEAD, which may announce a body but have none.
  void Begin(std::optional<std::uint64_t> body_limit, bool skip_body) {
    parser_.emplace(header_bytes_);
    parser_->body_limit(body_limit ? boost::optional<std::uint64_t>(*body_limit) : boost::none);
    parser_->skip(skip_body);
  }

  // Sets how far the request was written whose response is read. Stays over interim responses.
  void SetRequestProgress(request_progress progress) requires(!is_request) {
    request_progress_ = progress;
  }
  // Whether the exchange is complete and the connection can take another request.
  bool IsReusable() const requires(!is_request) {
    return request_progress_ == request_progress::kWritten && done() && parser_->keep_alive();
  }

  // Calls done(error_code) when the header is parsed, or immediately if it is already buffered.
  template <class Done>
  void ReadHead(Done done) {
    error_code error;
    if (ParseHead(error)) return done(error);
    ReadSome([this, done = std::move(done)](const error_code& read_error) mutable {
      if (read_error) return done(read_error);
      ReadHead(std::move(done));
    });
  }

  // Returns the next piece if it is buffered, sets error on failure, or returns nullopt if more
  // bytes must be read. The bytes of a piece are valid until the next piece is taken.
  std::optional<piece> TakeBuffered(error_code& error) {
    if (parser_->is_done()) return piece{{}, true};
    if (buffer_.size() == 0) return std::nullopt;
    bytes_.resize(kStreamBufferBytes);
    auto& body = parser_->get().body();
    body.data = bytes_.data();
    body.size = bytes_.size();
    parser_->eager(true);
    const std::size_t consumed = parser_->Put(buffered(), error);
    buffer_.consume(consumed);
    const piece found{{bytes_.data(), bytes_.size() - body.size}, parser_->is_done()};
    if (error == boost::beast::http::error::need_buffer ||
        error == boost::beast::http::error::need_more) {
      error = {};
    }
    if (error || found.last || !found.bytes.empty()) return found;
    return std::nullopt;
  }

  // Calls done(error_code, piece) with the next body piece, or immediately if it is buffered.
  template <class Done>
  void ReadPiece(Done done) {
    error_code error;
    if (const auto found = TakeBuffered(error)) return done(error, *found);
    ReadSome([this, done = std::move(done)](error_code read_error) mutable {
      if (read_error == boost::asio::error::eof) {
        PutEnd(read_error);
        return done(read_error, piece{{}, true});
      }
      if (read_error) return done(read_error, piece{});
      ReadPiece(std::move(done));
    });
  }

  parser& message() { return *parser_; }
  bool done() const { return parser_ && parser_->is_done(); }
  bool has_buffered_bytes() const { return buffer_.size() > 0; }
  void DiscardBuffered() { buffer_.clear(); }

 private:
  std::string_view buffered() const {
    return {static_cast<const char*>(buffer_.data().data()), buffer_.size()};
  }

  // Returns whether the header is complete, or sets error on failure.
  bool ParseHead(error_code& error) {
    buffer_.consume(parser_->Put(buffered(), error));
    if (error != boost::beast::http::error::need_more) return true;
    error = {};
    return false;
  }

  // The connection has ended within a body. A request always states the length of its body.
  void PutEnd(error_code& error) {
    if constexpr (is_request) {
      error = boost::beast::http::error::partial_message;
    } else {
      parser_->PutEnd(request_progress_, error);
    }
  }

  template <class Done>
  void ReadSome(Done done) {
    const std::size_t free_space = buffer_.max_size() - buffer_.size();
    if (free_space == 0) return done(error_code(boost::beast::http::error::buffer_overflow));
    socket_.async_read_some(
        buffer_.prepare(std::min(free_space, kStreamBufferBytes)),
        [this, done = std::move(done)](const error_code& error, std::size_t size) mutable {
          buffer_.commit(size);
          done(error);
        });
  }

  boost::asio::ip::tcp::socket& socket_;
  std::size_t header_bytes_;
  boost::beast::flat_buffer buffer_;
  std::optional<parser> parser_;
  request_progress request_progress_ = request_progress::kPartlyWritten;
  std::vector<char> bytes_;
};

}  // namespace cornelweir::http::internal

#endif  // CORNELWEIR_SRC_HTTP_MESSAGE_READER_H_
