#ifndef CORNELWEIR_SRC_TRANSPORT_SOCKET_STREAM_H_
#define CORNELWEIR_SRC_TRANSPORT_SOCKET_STREAM_H_

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cornelweir/src/transport/limits.h"
#include "cornelweir/src/transport/tls_context.h"

namespace cornelweir::transport::internal {

// A TCP connection, with or without TLS.
class socket_stream {
 public:
  using socket = boost::asio::ip::tcp::socket;

  socket_stream(socket connected, tls_context tls)
      : tls_context_(std::move(tls)), plain_socket_(std::move(connected)) {}

  // Performs the TLS handshake. Without TLS, calls the handler from within this function.
  template <class Handler>
  void AsyncHandshake(bool as_server, Handler handler) {
    if (!tls_context_) {
      handler(boost::system::error_code());
      return;
    }
    tls_stream_.emplace(std::move(plain_socket_), *tls_context_);
    using boost::asio::ssl::stream_base;
    tls_stream_->async_handshake(as_server ? stream_base::server : stream_base::client,
                                 std::move(handler));
  }

  // Reads the bytes that have arrived and passes them to the handler; they are valid until it
  // returns. Only a TLS connection has a buffer of its own; the others share one, because a daemon
  // has far more idle links than busy ones.
  template <class Handler>
  void AsyncReadSome(Handler handler) {
    if (tls_stream_) {
      tls_read_buffer_.resize(kReadBufferBytes);
      tls_stream_->async_read_some(
          boost::asio::buffer(tls_read_buffer_),
          [this, handler = std::move(handler)](boost::system::error_code error, std::size_t size) {
            handler(error, std::string_view(tls_read_buffer_.data(), size));
          });
      return;
    }
    plain_socket_.async_wait(socket::wait_read, [this, handler = std::move(handler)](
                                                    boost::system::error_code error) mutable {
      std::size_t size = 0;
      if (!error) size = plain_socket_.read_some(boost::asio::buffer(SharedReadBuffer()), error);
      if (error == boost::asio::error::would_block) return AsyncReadSome(std::move(handler));
      handler(error, std::string_view(SharedReadBuffer().data(), size));
    });
  }

  // Writes the whole buffer, which must stay valid until the handler is called.
  template <class Handler>
  void AsyncWrite(boost::asio::const_buffer buffer, Handler handler) {
    if (tls_stream_) {
      boost::asio::async_write(*tls_stream_, buffer, std::move(handler));
    } else {
      boost::asio::async_write(plain_socket_, buffer, std::move(handler));
    }
  }

  // Makes the socket non-blocking, disables Nagle's algorithm, because control messages are small
  // and latency matters, and enables keepalive, which detects a peer that stops responding without
  // a reset. Errors are ignored.
  void ConfigureSocket();

  // Ends the sending direction. Without a TLS close_notify, since a peer that reads the end of the
  // stream closes the link in any case.
  void ShutdownSend() {
    boost::system::error_code ignored;
    tcp_socket().shutdown(socket::shutdown_send, ignored);
  }

  void Close() {
    boost::system::error_code ignored;
    tcp_socket().close(ignored);
  }

  // Bytes that were sent and that the other end of the connection has not acknowledged yet; 0 if
  // the system does not tell.
  std::size_t UnacknowledgedBytes();

  // Returns the organizational unit of the peer's certificate, which names the peer's role. Empty
  // without TLS.
  std::string PeerRole();

 private:
  // Read buffer of all connections without TLS. They can share it because they are read on one
  // thread.
  static std::array<char, kReadBufferBytes>& SharedReadBuffer();
  socket& tcp_socket() { return tls_stream_ ? tls_stream_->next_layer() : plain_socket_; }

  tls_context tls_context_;
  socket plain_socket_;
  std::optional<boost::asio::ssl::stream<socket>> tls_stream_;
  // Unused without TLS.
  std::vector<char> tls_read_buffer_;
};

}  // namespace cornelweir::transport::internal

#endif  // CORNELWEIR_SRC_TRANSPORT_SOCKET_STREAM_H_
