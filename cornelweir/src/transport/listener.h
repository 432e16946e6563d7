#ifndef CORNELWEIR_SRC_TRANSPORT_LISTENER_H_
#define CORNELWEIR_SRC_TRANSPORT_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf.hpp>
#include <functional>
#include <memory>
#include <set>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/transport/link.h"
#include "cornelweir/src/transport/tls_context.h"

namespace cornelweir::transport {

// Accepts links from other processes, at most kMaxLinks at a time.
class listener : public std::enable_shared_from_this<listener> {
 public:
  // Listens on an endpoint; port 0 selects a free port. The error is a transport_error.
  static boost::leaf::result<std::shared_ptr<listener>> Open(boost::asio::io_context& context,
                                                             const kernel::endpoint& local,
                                                             tls_context tls,
                                                             link_handlers handlers);

  kernel::endpoint local_endpoint() const;
  // Sets the TLS context of connections accepted from now on. Open links keep theirs.
  void set_tls(tls_context tls) { tls_ = std::move(tls); }
  // Stops accepting and closes every link.
  void Close();
  // Stops accepting, closes every link after what is queued on it was sent, and then calls done
  // from the loop.
  void CloseAfterDrain(std::function<void()> done);

 private:
  listener(boost::asio::io_context& context, tls_context tls, link_handlers handlers);
  void AcceptNext();
  void RetryAcceptLater();
  void StopAccepting();
  void CallDrainedIfEmpty();

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  tls_context tls_;
  link_handlers handlers_;
  std::set<std::shared_ptr<link>> links_;
  bool closed_ = false;
  std::function<void()> on_drained_;
};

}  // namespace cornelweir::transport

#endif  // CORNELWEIR_SRC_TRANSPORT_LISTENER_H_
