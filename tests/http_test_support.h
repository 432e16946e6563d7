#ifndef CORNELWEIR_TESTS_HTTP_TEST_SUPPORT_H_
#define CORNELWEIR_TESTS_HTTP_TEST_SUPPORT_H_

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cornelweir/http.h"
#include "cornelweir/loop.h"

namespace cornelweir::http {

using boost::asio::ip::tcp;

// Runs the loop until a condition holds. Fails if nothing is left to wait for before.
template <class Condition>
void RunUntil(loop::event_loop& loop, Condition condition) {
  while (!condition()) {
    if (loop.context().run_one() == 0) {
      FAIL() << "the loop ran out of work before the condition held";
    }
  }
}

// One end of a connection that sends and receives raw bytes.
class raw_peer : public std::enable_shared_from_this<raw_peer> {
 public:
  // Without a delay for small segments, which would stop tests that send byte by byte.
  explicit raw_peer(tcp::socket socket) : socket_(std::move(socket)) {
    socket_.set_option(tcp::no_delay(true));
  }

  static std::shared_ptr<raw_peer> Connect(loop::event_loop& loop,
                                           const kernel::endpoint& endpoint) {
    tcp::socket socket(loop.context());
    socket.connect(ParseEndpoint(endpoint).value());
    auto peer = std::make_shared<raw_peer>(std::move(socket));
    peer->Read();
    return peer;
  }

  void Read() {
    socket_.async_read_some(
        boost::asio::buffer(buffer_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t size) {
          self->received.append(self->buffer_.data(), size);
          if (error) {
            self->closed = true;
          } else if (!self->paused) {
            self->Read();
          }
          if (self->on_bytes) self->on_bytes(*self);
        });
  }

  void Send(std::string bytes) {
    outgoing_.push_back(std::move(bytes));
    if (outgoing_.size() == 1) Write();
  }

  void CloseWhenSent() {
    close_when_sent_ = true;
    if (outgoing_.empty()) Close();
  }

  void Close() {
    boost::system::error_code ignored;
    if (reset_at_close_) socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }

  // Stops reading, sends the bytes and then resets the connection.
  void SendAndReset(std::string bytes) {
    paused = true;
    reset_at_close_ = true;
    Send(std::move(bytes));
    CloseWhenSent();
  }

  // Removes the next whole response with a content length from what was received.
  std::string TakeResponse() {
    const std::size_t end = received.find("\r\n\r\n");
    if (end == std::string::npos) return {};
    const std::size_t at = received.find("Content-Length: ");
    const std::size_t length = at < end ? std::stoul(received.substr(at + 16)) : 0;
    if (received.size() < end + 4 + length) return {};
    std::string response = received.substr(0, end + 4 + length);
    received.erase(0, response.size());
    return response;
  }

  std::string received;
  std::size_t sent = 0;
  // Sent again and again, after what Send() queued, until the connection is closed.
  std::string repeated;
  bool closed = false;
  bool paused = false;
  std::function<void(raw_peer&)> on_bytes;

 private:
  void Write() {
    boost::asio::async_write(
        socket_, boost::asio::buffer(outgoing_.front()),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t size) {
          self->sent += size;
          self->outgoing_.pop_front();
          if (error) {
            self->outgoing_.clear();
            self->repeated.clear();
          }
          if (self->outgoing_.empty() && !self->repeated.empty()) {
            self->outgoing_.push_back(self->repeated);
          }
          if (!self->outgoing_.empty()) {
            self->Write();
          } else if (self->close_when_sent_) {
            self->Close();
          }
        });
  }

  tcp::socket socket_;
  std::array<char, 65536> buffer_;
  std::deque<std::string> outgoing_;
  bool close_when_sent_ = false;
  bool reset_at_close_ = false;
};

// A server whose connections a test drives byte by byte.
class raw_server {
 public:
  explicit raw_server(loop::event_loop& loop)
      : acceptor_(loop.context(), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    Accept();
  }

  kernel::endpoint endpoint() const { return FormatEndpoint(acceptor_.local_endpoint()); }

  // Answers each later connection's first bytes with these bytes and closes it.
  void AnswerAndClose(std::string bytes) {
    on_bytes = [bytes = std::move(bytes)](raw_peer& peer) {
      if (peer.closed) return;
      peer.Send(bytes);
      peer.CloseWhenSent();
    };
  }
  // The same, but reads no further and resets the connection.
  void AnswerAndReset(std::string bytes) {
    on_bytes = [bytes = std::move(bytes)](raw_peer& peer) {
      if (!peer.paused) peer.SendAndReset(bytes);
    };
  }

  std::function<void(raw_peer&)> on_bytes;
  std::vector<std::shared_ptr<raw_peer>> peers;

 private:
  void Accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
      if (error) return;
      peers.push_back(std::make_shared<raw_peer>(std::move(socket)));
      peers.back()->on_bytes = on_bytes;
      peers.back()->Read();
      Accept();
    });
  }

  tcp::acceptor acceptor_;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_TESTS_HTTP_TEST_SUPPORT_H_
