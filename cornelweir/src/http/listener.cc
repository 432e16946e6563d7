#include "cornelweir/src/http/listener.h"

#include <boost/asio/error.hpp>
#include <utility>

#include "cornelweir/src/http/endpoint_address.h"
#include "cornelweir/src/http/http_error.h"
#include "cornelweir/src/loop/limits.h"

namespace cornelweir::http::internal {

using boost::asio::ip::tcp;

listener::listener(loop::event_loop& loop, accept_callback on_accept)
    : acceptor_(loop.context()), accept_retry_timer_(loop), on_accept_(std::move(on_accept)) {}

boost::leaf::result<void> listener::Listen(const kernel::endpoint& endpoint) {
  BOOST_LEAF_AUTO(address, ParseEndpoint(endpoint));
  boost::system::error_code error;
  acceptor_.open(address.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(address, error);
  if (!error) acceptor_.listen(tcp::acceptor::max_listen_connections, error);
  if (!error) acceptor_.non_blocking(true, error);
  if (error) return boost::leaf::new_error(http_error{http_fault::kListenFailed}, error);
  Accept();
  return {};
}

kernel::endpoint listener::local_endpoint() const {
  boost::system::error_code error;
  return FormatEndpoint(acceptor_.local_endpoint(error));
}

void listener::Close() {
  accept_retry_timer_.Cancel();
  while (acceptor_.is_open()) {
    boost::system::error_code error;
    tcp::socket socket = acceptor_.accept(error);
    if (error) break;
    ConfigureAndDeliver(std::move(socket));
  }
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void listener::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](const boost::system::error_code& error, tcp::socket socket) {
        if (!self->acceptor_.is_open()) return;
        if (error && error != boost::asio::error::connection_aborted) {
          self->accept_retry_timer_.Start(loop::kAcceptRetryDelay, [weak = std::weak_ptr(self)] {
            if (const auto locked = weak.lock()) locked->Accept();
          });
          return;
        }
        self->Accept();
        if (!error) self->ConfigureAndDeliver(std::move(socket));
      });
}

void listener::ConfigureAndDeliver(tcp::socket socket) {
  boost::system::error_code error;
  socket.set_option(tcp::no_delay(true), error);
  if (!error) socket.non_blocking(true, error);
  if (!error) on_accept_(std::move(socket));
}

}  // namespace cornelweir::http::internal
