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
// is limited; further requests wait in a bounded FIFO queue.
class connection_pool {
 public:
  using connection_ptr = std::shared_ptr<internal::connection>;
  using acquire_callback = std::function<void(http_result<connection_ptr>)>;
  using acquire_id = kernel::strong_id<struct acquire_id_tag, std::uint64_t>;

  explicit connection_pool(loop::event_loop& loop, pool_limits limits = {});
  connection_pool(const connection_pool&) = delete;
  connection_pool& operator=(const connection_pool&) = delete;
  ~connection_pool();

  // Calls callback once, never from within Acquire(), with a connection or with kBadEndpoint,
  // kConnectFailed, kPoolExhausted or kTimeout. Each connection must be released.
  acquire_id Acquire(const kernel::endpoint& endpoint, acquire_callback callback);
  // Cancels a pending Acquire(); its callback does not run.
  void Cancel(acquire_id id);
  // Returns a connection to the pool. One that is not reusable or holds unread bytes is closed.
  void Release(const kernel::endpoint& endpoint, connection_ptr released, bool reusable);

  // Closes idle connections; connections in use are closed when they are released.
  void Close();

  // Number of connections to the endpoint, whether connecting, in use or idle.
  std::size_t open_connections(const kernel::endpoint& endpoint) const;
  std::size_t idle_connections(const kernel::endpoint& endpoint) const;

 private:
  std::shared_ptr<internal::pool_state> state_;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_CONNECTION_POOL_H_
