#ifndef PROGRAMS_CORNELWEIRCTL_HTTP_EXCHANGE_H_
#define PROGRAMS_CORNELWEIRCTL_HTTP_EXCHANGE_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/stream_base.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "cornelweir/src/kernel/quantity.h"
#include "programs/cornelweirctl/limits.h"

namespace cornelweir::ctl {

struct http_reply {
  unsigned status = 0;
  std::string body;
};

// A Beast stream over TCP, with or without TLS.
template <class T>
concept http_stream = requires(T& stream) {
  boost::beast::get_lowest_layer(stream).expires_never();
  typename T::executor_type;
};

// Sends one request over a connection of its own and reads the answer. Any step that fails, or the
// end of the time limit, ends the exchange with an error.
template <http_stream Stream>
class http_exchange : public std::enable_shared_from_this<http_exchange<Stream>> {
 public:
  using request = boost::beast::http::request<boost::beast::http::string_body>;
  using handler = std::function<void(boost::system::error_code, http_reply)>;

  template <class... Arguments>
  explicit http_exchange(Arguments&&... stream_arguments)
      : stream_(std::forward<Arguments>(stream_arguments)...) {
    parser_.body_limit(kMaxReplyBytes);
  }

  void Start(const boost::asio::ip::tcp::endpoint& host, request message,
             kernel::milliseconds time_limit, handler done) {
    message_ = std::move(message);
    done_ = std::move(done);
    auto& tcp = boost::beast::get_lowest_layer(stream_);
    tcp.expires_after(time_limit);
    tcp.async_connect(host, Next([this] { Handshake(); }));
  }

 private:
  // A completion handler that goes on with the next step or ends the exchange.
  template <class Step>
  auto Next(Step step) {
    return
        [self = this->shared_from_this(), step](boost::system::error_code error, std::size_t = 0) {
          if (error) {
            self->done_(error, {});
          } else {
            step();
          }
        };
  }

  void Handshake() {
    if constexpr (requires { stream_.handshake(boost::asio::ssl::stream_base::client); }) {
      stream_.async_handshake(boost::asio::ssl::stream_base::client, Next([this] { Write(); }));
    } else {
      Write();
    }
  }

  void Write() {
    boost::beast::http::async_write(stream_, message_, Next([this] { Read(); }));
  }

  void Read() {
    boost::beast::http::async_read(stream_, buffer_, parser_, Next([this] {
                                     auto& answer = parser_.get();
                                     done_({}, {answer.result_int(), std::move(answer.body())});
                                   }));
  }

  Stream stream_;
  request message_;
  handler done_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
};

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_HTTP_EXCHANGE_H_
