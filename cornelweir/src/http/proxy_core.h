#ifndef CORNELWEIR_SRC_HTTP_PROXY_CORE_H_
#define CORNELWEIR_SRC_HTTP_PROXY_CORE_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/leaf.hpp>
#include <functional>
#include <memory>
#include <unordered_set>

#include "cornelweir/src/http/caller_connection.h"
#include "cornelweir/src/http/connection_pool.h"
#include "cornelweir/src/http/exchange.h"
#include "cornelweir/src/http/limits.h"
#include "cornelweir/src/http/listener.h"
#include "cornelweir/src/memory/memory_account.h"

namespace cornelweir::http::internal {

// The part of a proxy server that does not depend on the handler type: the connections of callers
// and the connection pool.
class proxy_core : public std::enable_shared_from_this<proxy_core> {
 public:
  using request_callback = std::function<void(std::shared_ptr<exchange>)>;
  using refusal_callback = std::function<void(bool sent, header_list& headers)>;

  proxy_core(loop::event_loop& loop, connection_pool& pool, proxy_limits limits,
             std::shared_ptr<memory::memory_account> memory, request_callback on_request,
             refusal_callback on_refusal);

  boost::leaf::result<void> Listen(const kernel::endpoint& endpoint);
  kernel::endpoint local_endpoint() const;
  void BeginDrain(std::function<void()> done);
  void Close();
  void Remove(const std::shared_ptr<caller_connection>& closed);
  void Dispatch(const std::shared_ptr<exchange>& request) const { on_request_(request); }

  void AddRefusalHeaders(bool sent, header_list& headers) const {
    if (on_refusal_) on_refusal_(sent, headers);
  }

  loop::event_loop& event_loop() { return loop_; }
  connection_pool& pool() { return pool_; }
  const proxy_limits& limits() const { return limits_; }
  // Null if the buffers of requests are not counted.
  const std::shared_ptr<memory::memory_account>& memory() const { return memory_; }
  bool draining() const { return draining_; }
  std::size_t connections() const { return connections_.size(); }

 private:
  void Accept(boost::asio::ip::tcp::socket socket);

  loop::event_loop& loop_;
  connection_pool& pool_;
  proxy_limits limits_;
  std::shared_ptr<memory::memory_account> memory_;
  request_callback on_request_;
  refusal_callback on_refusal_;
  std::shared_ptr<listener> listener_;
  std::unordered_set<std::shared_ptr<caller_connection>> connections_;
  std::function<void()> on_drained_;
  bool draining_ = false;
};

}  // namespace cornelweir::http::internal

#endif  // CORNELWEIR_SRC_HTTP_PROXY_CORE_H_
