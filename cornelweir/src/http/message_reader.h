#ifndef CORNELWEIR_SRC_HTTP_MESSAGE_READER_H_
#define CORNELWEIR_SRC_HTTP_MESSAGE_READER_H_

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "cornelweir/src/http/limits.h"

namespace cornelweir::http::internal {

using boost::system::error_code;

// Reads successive messages from a socket: the header as a whole, the body in pieces of at most
// kStreamBufferBytes. Bytes of the next message stay in the buffer. The owner must keep the reader
// and the socket alive until each callback has run.
template <bool is_request>
class message_reader {
 public:
  using parser = boost::beast::http::parser<is_request, boost::beast::http::buffer_body>;

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
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(header_bytes_));
    parser_->body_limit(body_limit ? boost::optional<std::uint64_t>(*body_limit) : boost::none);
    parser_->skip(skip_body);
    scanned_bytes_ = 0;
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
    const std::size_t consumed = parser_->put(buffer_.data(), error);
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
        if (!parser_->need_eof()) return done(PartialMessage(), piece{});
        // A response without a length is delimited by the end of the connection.
        parser_->put_eof(read_error);
        return done(read_error, piece{{}, true});
      }
      if (read_error) return done(read_error, piece{});
      ReadPiece(std::move(done));
    });
  }

  parser& message() { return *parser_; }
  // Whether a final response follows this one. Tests the number, since the library's status enum
  // does not cover all codes.
  bool is_interim() const requires(!is_request) { return parser_->get().result_int() / 100 == 1; }
  bool done() const { return parser_ && parser_->is_done(); }
  bool has_buffered_bytes() const { return buffer_.size() > 0; }
  void DiscardBuffered() { buffer_.clear(); }

 private:
  static error_code PartialMessage() { return boost::beast::http::error::partial_message; }

  // Whether the header uses line folding. RFC 9112 deprecates it, and parsers that disagree about
  // it may see different requests (request smuggling).
  static bool HasLineFolding(std::string_view head) {
    return head.find("\n ") != std::string_view::npos ||
           head.find("\n\t") != std::string_view::npos;
  }

  bool ParseHead(error_code& error) {
    const std::string_view bytes(static_cast<const char*>(buffer_.data().data()), buffer_.size());
    const std::size_t end = bytes.find("\r\n\r\n", scanned_bytes_ < 3 ? 0 : scanned_bytes_ - 3);
    if (end == std::string_view::npos) {
      scanned_bytes_ = bytes.size();
      if (bytes.size() < header_bytes_) return false;
      error = boost::beast::http::error::header_limit;
      return true;
    }
    const std::string_view head = bytes.substr(0, end + 4);
    if (head.size() > header_bytes_) {
      error = boost::beast::http::error::header_limit;
      return true;
    }
    if (HasLineFolding(head)) {
      error = boost::beast::http::error::bad_value;
      return true;
    }
    const std::size_t consumed =
        parser_->put(boost::asio::const_buffer(head.data(), head.size()), error);
    buffer_.consume(consumed);
    if (!error && !parser_->is_header_done()) error = PartialMessage();
    return true;
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
  std::size_t scanned_bytes_ = 0;
  std::vector<char> bytes_;
};

}  // namespace cornelweir::http::internal

#endif  // CORNELWEIR_SRC_HTTP_MESSAGE_READER_H_
