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

  // Passes on what has arrived; the bytes are valid until the handler returns. Only a connection
  // with TLS needs a buffer of its own: a daemon has far more idle links than busy ones.
  template <class Handler>
  void AsyncReadSome(Handler handler) {
    if (secure_) {
      buffer_.resize(kReadBufferBytes);
      secure_->async_read_some(
          boost::asio::buffer(buffer_),
          [this, handler = std::move(handler)](boost::system::error_code error, std::size_t size) {
            handler(error, std::string_view(buffer_.data(), size));
          });
      return;
    }
    plain_.async_wait(socket::wait_read, [this, handler = std::move(handler)](
                                             boost::system::error_code error) mutable {
      std::size_t size = 0;
      if (!error) size = plain_.read_some(boost::asio::buffer(Scratch()), error);
      if (error == boost::asio::error::would_block) return AsyncReadSome(std::move(handler));
      handler(error, std::string_view(Scratch().data(), size));
    });
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
  // Shared by all connections, which are read on one thread.
  static std::array<char, kReadBufferBytes>& Scratch();
  socket& lowest() { return secure_ ? secure_->next_layer() : plain_; }

  tls_context tls_context_;
  socket plain_;
  std::optional<boost::asio::ssl::stream<socket>> secure_;
  // Empty without TLS.
  std::vector<char> buffer_;
};

}  // namespace cornelweir::transport::internal

#endif  // CORNELWEIR_SRC_TRANSPORT_SOCKET_STREAM_H_
