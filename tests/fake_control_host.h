#ifndef CORNELWEIR_TESTS_FAKE_CONTROL_HOST_H_
#define CORNELWEIR_TESTS_FAKE_CONTROL_HOST_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cornelweir/codec.h"

namespace cornelweir::ctl {

// A stand-in for the HTTP side of a control host, on the loop of the test. It answers each request
// as the test says, or closes the connection without an answer.
class fake_control_host {
 public:
  struct request {
    std::string method;
    std::string target;
    codec::json body;
  };
  struct answer {
    unsigned status = 200;
    std::string body;
    bool cut = false;

    answer(unsigned status, const codec::json& body) : status(status), body(body.dump()) {}
    static answer Cut() {
      answer none(0, nullptr);
      none.cut = true;
      return none;
    }
  };
  using script = std::function<answer(const request&)>;

  explicit fake_control_host(boost::asio::io_context& loop,
                             boost::asio::ssl::context* tls = nullptr)
      : loop_(loop), tls_(tls), acceptor_(loop, {boost::asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }

  std::string Endpoint() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  script answer_with = [](const request&) { return answer(404, codec::json::object()); };
  std::vector<request> requests;

 private:
  using plain_stream = boost::beast::tcp_stream;
  using tls_stream = boost::beast::ssl_stream<boost::beast::tcp_stream>;

  template <class Stream>
  struct session {
    template <class... Arguments>
    explicit session(Arguments&&... arguments) : stream(std::forward<Arguments>(arguments)...) {}

    Stream stream;
    boost::beast::flat_buffer buffer;
    boost::beast::http::request<boost::beast::http::string_body> received;
    boost::beast::http::response<boost::beast::http::string_body> sent;
  };

  void Accept() {
    acceptor_.async_accept(
        [this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
          if (error) return;
          if (tls_ == nullptr) {
            Read(std::make_shared<session<plain_stream>>(std::move(socket)));
          } else {
            const auto open = std::make_shared<session<tls_stream>>(std::move(socket), *tls_);
            open->stream.async_handshake(boost::asio::ssl::stream_base::server,
                                         [this, open](boost::system::error_code failure) {
                                           if (!failure) Read(open);
                                         });
          }
          Accept();
        });
  }

  template <class Session>
  void Read(std::shared_ptr<Session> open) {
    boost::beast::http::async_read(open->stream, open->buffer, open->received,
                                   [this, open](boost::system::error_code error, std::size_t) {
                                     if (!error) Answer(open);
                                   });
  }

  template <class Session>
  void Answer(std::shared_ptr<Session> open) {
    requests.push_back({std::string(open->received.method_string()),
                        std::string(open->received.target()),
                        codec::json::parse(open->received.body(), nullptr, false)});
    const answer reply = answer_with(requests.back());
    if (reply.cut) return;
    open->sent.result(reply.status);
    open->sent.body() = reply.body;
    open->sent.prepare_payload();
    boost::beast::http::async_write(open->stream, open->sent,
                                    [open](boost::system::error_code, std::size_t) {});
  }

  boost::asio::io_context& loop_;
  boost::asio::ssl::context* tls_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace cornelweir::ctl

#endif  // CORNELWEIR_TESTS_FAKE_CONTROL_HOST_H_
