#ifndef CORNELWEIR_SRC_HTTP_CONNECTION_POOL_H_
#define CORNELWEIR_SRC_HTTP_CONNECTION_POOL_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "cornelweir/src/http/connection.h"
#include "cornelweir/src/http/http_result.h"
#include "cornelweir/src/http/limits.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/loop/event_loop.h"

namespace cornelweir::http {

namespace internal {
class pool_state;
}  // namespace internal

// Keeps connections to servers open between requests. The number of connections to each endpoint
// is bounded; requests beyond it wait in a bounded queue, in order of arrival.
class connection_pool {
 public:
  using connection_ptr = std::shared_ptr<internal::connection>;
  using acquire_callback = std::function<void(http_result<connection_ptr>)>;
  using ticket = kernel::strong_id<struct pool_ticket_tag, std::uint64_t>;

  explicit connection_pool(loop::event_loop& loop, pool_limits limits = {});
  connection_pool(const connection_pool&) = delete;
  connection_pool& operator=(const connection_pool&) = delete;
  ~connection_pool();

  // Calls back once, never from within Acquire(), with a connection or with kBadEndpoint,
  // kConnectFailed, kPoolExhausted or kTimeout. Each connection must be released.
  ticket Acquire(const kernel::endpoint& endpoint, acquire_callback callback);
  // The callback of this ticket does not run any more.
  void Cancel(ticket waiting);
  // Gives a connection back. One that is not reusable, or that holds unread bytes, is closed.
  void Release(const kernel::endpoint& endpoint, connection_ptr released, bool reusable);

  // Closes idle connections; those in use are closed when they are released.
  void Close();

  std::size_t open_connections(const kernel::endpoint& endpoint) const;
  std::size_t idle_connections(const kernel::endpoint& endpoint) const;

 private:
  std::shared_ptr<internal::pool_state> state_;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_CONNECTION_POOL_H_
