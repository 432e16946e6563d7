#ifndef PROGRAMS_CORNELWEIRCTL_HTTP_EXCHANGE_H_
#define PROGRAMS_CORNELWEIRCTL_HTTP_EXCHANGE_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/stream_base.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "cornelweir/http.h"
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
      : stream_(std::forward<Arguments>(stream_arguments)...) {}

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
    boost::beast::http::async_write(stream_, message_, Next([this] {
                                      BeginAnswer();
                                      Read();
                                    }));
  }

  void BeginAnswer() {
    parser_.emplace(http::kMaxHeaderBytes);
    parser_->body_limit(kMaxReplyBytes);
    parser_->eager(true);
  }

  void Read() {
    stream_.async_read_some(
        buffer_.prepare(http::kStreamBufferBytes),
        [self = this->shared_from_this()](boost::system::error_code error, std::size_t size) {
          self->buffer_.commit(size);
          self->OnRead(error);
        });
  }

  void OnRead(boost::system::error_code error) {
    if (error == boost::asio::error::eof) {
      parser_->PutEnd(http::request_progress::kWritten, error);
    } else if (!error) {
      Parse(error);
    }
    if (error) return done_(error, {});
    if (!parser_->is_done()) return Read();
    auto& answer = parser_->get();
    done_({}, {answer.result_int(), std::move(answer.body())});
  }

  // Parses what has arrived. Interim responses are skipped.
  void Parse(boost::system::error_code& error) {
    while (buffer_.size() > 0 && !parser_->is_done()) {
      const auto bytes = buffer_.cdata();
      const std::size_t consumed =
          parser_->Put({static_cast<const char*>(bytes.data()), bytes.size()}, error);
      buffer_.consume(consumed);
      if (error == boost::beast::http::error::need_more) {
        error = {};
        return;
      }
      if (error) return;
      if (!parser_->is_done() || !parser_->status().is_interim()) continue;
      if (++interim_count_ > http::kMaxInterimResponses) {
        error = boost::beast::http::error::bad_status;
        return;
      }
      BeginAnswer();
    }
  }

  Stream stream_;
  request message_;
  handler done_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<boost::beast::http::string_body>> parser_;
  int interim_count_ = 0;
};

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_HTTP_EXCHANGE_H_
