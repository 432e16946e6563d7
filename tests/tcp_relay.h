#ifndef CORNELWEIR_TESTS_TCP_RELAY_H_
#define CORNELWEIR_TESTS_TCP_RELAY_H_

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

namespace cornelweir {

// Passes TCP connections on to a target, as a middlebox does. A connection that is silenced stays
// open at both ends, which see their bytes acknowledged, but nothing passes any more.
class tcp_relay {
 public:
  using tcp = boost::asio::ip::tcp;

  // Which bytes of the connections that are open a call of Silence() drops from then on.
  enum class direction { kToTarget, kFromTarget, kBoth };

  tcp_relay(boost::asio::io_context& context, tcp::endpoint target)
      : target_(std::move(target)),
        acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    AcceptNext();
  }
  ~tcp_relay() { Close(); }
  tcp_relay(const tcp_relay&) = delete;
  tcp_relay& operator=(const tcp_relay&) = delete;

  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  std::size_t accepted() const { return pairs_.size(); }

  void Silence(direction dropped) {
    for (const auto& pair : pairs_) {
      if (dropped != direction::kFromTarget) pair->drops_to_target = true;
      if (dropped != direction::kToTarget) pair->drops_from_target = true;
    }
  }

  void Close() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& pair : pairs_) {
      pair->caller.close(ignored);
      pair->target.close(ignored);
    }
  }

 private:
  struct connection_pair {
    explicit connection_pair(tcp::socket accepted)
        : caller(std::move(accepted)), target(caller.get_executor()) {}

    tcp::socket caller;
    tcp::socket target;
    bool drops_to_target = false;
    bool drops_from_target = false;
    std::array<char, 4096> to_target{};
    std::array<char, 4096> from_target{};
  };
  using shared_pair = std::shared_ptr<connection_pair>;

  void AcceptNext() {
    acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
      if (error) return;
      auto pair = std::make_shared<connection_pair>(std::move(socket));
      pairs_.push_back(pair);
      pair->target.async_connect(target_, [pair](const boost::system::error_code& failure) {
        if (failure) return;
        Pump(pair, pair->caller, pair->target, pair->to_target, pair->drops_to_target);
        Pump(pair, pair->target, pair->caller, pair->from_target, pair->drops_from_target);
      });
      AcceptNext();
    });
  }

  static void Pump(const shared_pair& pair, tcp::socket& from, tcp::socket& to,
                   std::array<char, 4096>& buffer, const bool& drops) {
    from.async_read_some(
        boost::asio::buffer(buffer), [&from, &to, &buffer, &drops, pair](
                                         const boost::system::error_code& error, std::size_t size) {
          boost::system::error_code ignored;
          if (error) {
            to.close(ignored);
            return;
          }
          if (drops) return Pump(pair, from, to, buffer, drops);
          boost::asio::async_write(to, boost::asio::buffer(buffer, size),
                                   [&from, &to, &buffer, &drops, pair](
                                       const boost::system::error_code& failure, std::size_t) {
                                     if (!failure) Pump(pair, from, to, buffer, drops);
                                   });
        });
  }

  tcp::endpoint target_;
  tcp::acceptor acceptor_;
  std::vector<shared_pair> pairs_;
};

}  // namespace cornelweir

#endif  // CORNELWEIR_TESTS_TCP_RELAY_H_
