#ifndef CORNELWEIR_SRC_TRANSPORT_SOCKET_STREAM_H_
#define CORNELWEIR_SRC_TRANSPORT_SOCKET_STREAM_H_

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>
#include <utility>

#include "cornelweir/src/transport/tls_context.h"

namespace cornelweir::transport::internal {

// A TCP connection with or without TLS behind one set of operations.
class socket_stream {
 public:
  using socket = boost::asio::ip::tcp::socket;

  socket_stream(socket connected, tls_context tls)
      : tls_context_(std::move(tls)), plain_(std::move(connected)) {}

  // Without TLS the handler is called at once.
  template <class Handler>
  void AsyncHandshake(bool as_server, Handler handler) {
    if (!tls_context_) {
      handler(boost::system::error_code());
      return;
    }
    secure_.emplace(std::move(plain_), *tls_context_);
    using boost::asio::ssl::stream_base;
    secure_->async_handshake(as_server ? stream_base::server : stream_base::client,
                             std::move(handler));
  }

  template <class Handler>
  void AsyncReadSome(boost::asio::mutable_buffer buffer, Handler handler) {
    if (secure_) {
      secure_->async_read_some(buffer, std::move(handler));
    } else {
      plain_.async_read_some(buffer, std::move(handler));
    }
  }

  template <class Handler>
  void AsyncWrite(boost::asio::const_buffer buffer, Handler handler) {
    if (secure_) {
      boost::asio::async_write(*secure_, buffer, std::move(handler));
    } else {
      boost::asio::async_write(plain_, buffer, std::move(handler));
    }
  }

  // Control messages are small and latency counts, so they are not held back to be merged. A peer
  // that falls silent without a reset is noticed.
  void SetLinkOptions();

  void Close() {
    boost::system::error_code ignored;
    lowest().close(ignored);
  }

  // The organizational unit of the peer's certificate, which names its role. Empty without TLS.
  std::string PeerRole();

 private:
  socket& lowest() { return secure_ ? secure_->next_layer() : plain_; }

  tls_context tls_context_;
  socket plain_;
  std::optional<boost::asio::ssl::stream<socket>> secure_;
};

}  // namespace cornelweir::transport::internal

#endif  // CORNELWEIR_SRC_TRANSPORT_SOCKET_STREAM_H_
