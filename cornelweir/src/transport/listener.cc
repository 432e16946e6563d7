#include "cornelweir/src/transport/listener.h"

#include <boost/asio/post.hpp>
#include <string>
#include <utility>

#include "cornelweir/src/loop/limits.h"
#include "cornelweir/src/transport/transport_error.h"

namespace cornelweir::transport {

using boost::asio::ip::tcp;
using boost::system::error_code;

listener::listener(boost::asio::io_context& context, tls_context tls, link_handlers handlers)
    : context_(context),
      acceptor_(context),
      accept_retry_timer_(context),
      tls_(std::move(tls)),
      handlers_(std::move(handlers)) {}

boost::leaf::result<std::shared_ptr<listener>> listener::Open(boost::asio::io_context& context,
                                                              const kernel::endpoint& local,
                                                              tls_context tls,
                                                              link_handlers handlers) {
  tcp::endpoint address;
  if (!ParseEndpoint(local, address)) {
    return boost::leaf::new_error(
        transport_error{transport_fault::kInvalidEndpoint, local.value()});
  }
  std::shared_ptr<listener> self(new listener(context, std::move(tls), std::move(handlers)));
  error_code error;
  self->acceptor_.open(address.protocol(), error);
  if (!error) self->acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) self->acceptor_.bind(address, error);
  if (!error) self->acceptor_.listen(tcp::acceptor::max_listen_connections, error);
  if (error) {
    return boost::leaf::new_error(
        transport_error{transport_fault::kListenFailed, local.value() + ": " + error.message()});
  }
  self->AcceptNext();
  return self;
}

kernel::endpoint listener::local_endpoint() const {
  error_code ignored;
  const tcp::endpoint local = acceptor_.local_endpoint(ignored);
  return kernel::endpoint(local.address().to_string() + ":" + std::to_string(local.port()));
}

void listener::AcceptNext() {
  acceptor_.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
    if (self->closed_) return;
    if (error && error != boost::asio::error::connection_aborted) return self->RetryAcceptLater();
    if (!error && self->links_.size() < kMaxLinks) {
      link_handlers handlers = self->handlers_;
      handlers.closed = [weak = self->weak_from_this()](const std::shared_ptr<link>& closed_link,
                                                        const std::string& reason) {
        const auto owner = weak.lock();
        if (!owner) return;
        owner->links_.erase(closed_link);
        if (owner->handlers_.closed) owner->handlers_.closed(closed_link, reason);
        owner->CallDrainedIfEmpty();
      };
      self->links_.insert(
          link::Accept(self->context_, std::move(socket), self->tls_, std::move(handlers)));
    }
    self->AcceptNext();
  });
}

void listener::RetryAcceptLater() {
  accept_retry_timer_.expires_after(loop::kAcceptRetryDelay);
  accept_retry_timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error && !self->closed_) self->AcceptNext();
  });
}

void listener::StopAccepting() {
  closed_ = true;
  accept_retry_timer_.cancel();
  error_code ignored;
  acceptor_.close(ignored);
}

void listener::Close() {
  StopAccepting();
  for (const auto& open_link : links_) open_link->Close("the process is shutting down");
}

void listener::CloseAfterDrain(std::function<void()> done) {
  StopAccepting();
  on_drained_ = std::move(done);
  for (const auto& open_link : links_) open_link->CloseAfterDrain("the process is shutting down");
  CallDrainedIfEmpty();
}

void listener::CallDrainedIfEmpty() {
  if (!on_drained_ || !links_.empty()) return;
  boost::asio::post(context_, std::exchange(on_drained_, nullptr));
}

}  // namespace cornelweir::transport
