#ifndef CORNELWEIR_SRC_HTTP_LISTENER_H_
#define CORNELWEIR_SRC_HTTP_LISTENER_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/leaf.hpp>
#include <functional>
#include <memory>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/loop/event_loop.h"
#include "cornelweir/src/loop/timer.h"

namespace cornelweir::http::internal {

// Accepts connections on one endpoint until it is closed.
class listener : public std::enable_shared_from_this<listener> {
 public:
  using accept_callback = std::function<void(boost::asio::ip::tcp::socket)>;

  listener(loop::event_loop& loop, accept_callback on_accept);

  // Starts to accept connections. Port 0 selects a free port. Errors carry an http_error.
  boost::leaf::result<void> Listen(const kernel::endpoint& endpoint);
  kernel::endpoint local_endpoint() const;
  // Accepts the connections that are already established, then stops listening.
  void Close();

 private:
  void Accept();
  void ConfigureAndDeliver(boost::asio::ip::tcp::socket socket);

  boost::asio::ip::tcp::acceptor acceptor_;
  loop::timer accept_retry_timer_;
  accept_callback on_accept_;
};

}  // namespace cornelweir::http::internal

#endif  // CORNELWEIR_SRC_HTTP_LISTENER_H_
