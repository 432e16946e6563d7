#include "cornelweir/src/http/connection_pool.h"

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cornelweir/src/http/endpoint_address.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/loop/timer.h"

namespace cornelweir::http {
namespace internal {

using connection_ptr = connection_pool::connection_ptr;

class pool_state : public std::enable_shared_from_this<pool_state> {
 public:
  using acquire_id = connection_pool::acquire_id;

  pool_state(loop::event_loop& loop, pool_limits limits)
      : loop_(loop), limits_(limits), idle_timer_(loop) {}

  acquire_id Acquire(const kernel::endpoint& endpoint, connection_pool::acquire_callback callback) {
    last_id_ = kernel::Next(last_id_);
    const acquire_id id = last_id_;
    callbacks_.emplace(id, std::move(callback));
    server& target = FindOrAddServer(endpoint);
    if (!target.valid) {
      FailLater(id, http_fault::kBadEndpoint);
      servers_.erase(endpoint);
    } else if (connection_ptr idle = TakeIdle(target)) {
      DeliverLater(endpoint, id, std::move(idle));
    } else if (target.open < limits_.connections) {
      Connect(endpoint, target, id);
    } else if (target.waiters.size() < limits_.waiters) {
      target.waiters.push_back(waiter{id, clock_.Now() + limits_.wait_timeout});
      if (!target.wait_timer.running()) StartWaitTimer(endpoint, target);
    } else {
      FailLater(id, http_fault::kPoolExhausted);
    }
    return id;
  }

  void Cancel(acquire_id id) { callbacks_.erase(id); }

  void Release(const kernel::endpoint& endpoint, connection_ptr released, bool reusable) {
    server& target = FindOrAddServer(endpoint);
    const bool can_keep = reusable && !closed_ && !released->reader.has_buffered_bytes() &&
                          Peek(released->socket) == socket_state::kEmpty;
    if (!can_keep) return Discard(endpoint, target, *released);
    if (const auto next = NextWaiter(target)) {
      return DeliverLater(endpoint, *next, std::move(released));
    }
    released->idle = true;
    released->idle_since = clock_.Now();
    AwaitInput(endpoint, released);
    target.idle.push_back(std::move(released));
    if (!idle_timer_.running()) StartIdleTimer();
  }

  void Close() {
    closed_ = true;
    idle_timer_.Cancel();
    for (auto& [endpoint, target] : servers_) {
      target.wait_timer.Cancel();
      for (const connection_ptr& each : target.idle) each->Close();
      target.open -= target.idle.size();
      target.idle.clear();
    }
  }

  const auto* Find(const kernel::endpoint& endpoint) const {
    const auto found = servers_.find(endpoint);
    return found == servers_.end() ? nullptr : &found->second;
  }

 private:
  struct waiter {
    acquire_id id;
    kernel::time_point deadline;
  };

  struct server {
    explicit server(loop::event_loop& loop) : wait_timer(loop) {}

    bool valid = false;
    boost::asio::ip::tcp::endpoint address;
    // Number of connections that are idle, connecting or in use.
    std::size_t open = 0;
    std::vector<connection_ptr> idle;
    std::deque<waiter> waiters;
    loop::timer wait_timer;
  };

  server& FindOrAddServer(const kernel::endpoint& endpoint) {
    const auto inserted = servers_.try_emplace(endpoint, loop_);
    server& target = inserted.first->second;
    if (inserted.second) {
      boost::leaf::try_handle_all(
          [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_ASSIGN(target.address, ParseEndpoint(endpoint));
            target.valid = true;
            return {};
          },
          [] {});
    }
    return target;
  }

  // Uses the most recently used connection first, so that under decreasing load the others stay
  // idle long enough to be closed.
  connection_ptr TakeIdle(server& target) {
    while (!target.idle.empty()) {
      connection_ptr candidate = std::move(target.idle.back());
      target.idle.pop_back();
      candidate->idle = false;
      if (Peek(candidate->socket) == socket_state::kEmpty) return candidate;
      candidate->Close();
      --target.open;
    }
    return nullptr;
  }

  // Removes and returns the first waiter that was not cancelled.
  std::optional<acquire_id> NextWaiter(server& target) {
    while (!target.waiters.empty()) {
      const acquire_id next = target.waiters.front().id;
      target.waiters.pop_front();
      if (callbacks_.contains(next)) return next;
    }
    return std::nullopt;
  }

  void Connect(const kernel::endpoint& endpoint, server& target, acquire_id id) {
    ++target.open;
    auto opened = std::make_shared<connection>(loop_);
    auto timeout = std::make_shared<loop::timer>(loop_);
    timeout->Start(limits_.connect_timeout, [opened] { opened->Close(); });
    opened->socket.async_connect(target.address, [self = shared_from_this(), endpoint, id, opened,
                                                  timeout](boost::system::error_code error) {
      timeout->Cancel();
      // The timer may have closed a socket whose connection was just established.
      if (!error && !opened->socket.is_open()) error = boost::asio::error::timed_out;
      if (!error) opened->socket.set_option(boost::asio::ip::tcp::no_delay(true), error);
      if (!error) opened->socket.non_blocking(true, error);
      if (error) {
        self->Fail(id, http_fault::kConnectFailed);
        self->Discard(endpoint, self->FindOrAddServer(endpoint), *opened);
      } else {
        self->Deliver(endpoint, id, opened);
      }
    });
  }

  void Discard(const kernel::endpoint& endpoint, server& target, connection& closed) {
    closed.Close();
    --target.open;
    if (const auto next = NextWaiter(target)) return Connect(endpoint, target, *next);
    if (IsUnused(target)) servers_.erase(endpoint);
  }

  // Upstreams are replaced at new addresses, so entries without connections are removed.
  static bool IsUnused(const server& target) { return target.open == 0 && target.waiters.empty(); }

  void Deliver(const kernel::endpoint& endpoint, acquire_id id, connection_ptr ready) {
    const auto found = callbacks_.find(id);
    if (found == callbacks_.end()) return Release(endpoint, std::move(ready), true);
    const auto callback = std::move(found->second);
    callbacks_.erase(found);
    callback(std::move(ready));
  }

  void DeliverLater(const kernel::endpoint& endpoint, acquire_id id, connection_ptr ready) {
    loop_.Post([self = shared_from_this(), endpoint, id, ready = std::move(ready)] {
      self->Deliver(endpoint, id, ready);
    });
  }

  void Fail(acquire_id id, http_fault fault) {
    const auto found = callbacks_.find(id);
    if (found == callbacks_.end()) return;
    const auto callback = std::move(found->second);
    callbacks_.erase(found);
    callback(http_error{fault, false});
  }

  void FailLater(acquire_id id, http_fault fault) {
    loop_.Post([self = shared_from_this(), id, fault] { self->Fail(id, fault); });
  }

  void StartWaitTimer(const kernel::endpoint& endpoint, server& target) {
    const auto delay =
        std::max(kernel::microseconds(0), target.waiters.front().deadline - clock_.Now());
    target.wait_timer.Start(delay, [this, endpoint] { ExpireWaiters(endpoint); });
  }

  void ExpireWaiters(const kernel::endpoint& endpoint) {
    server& target = FindOrAddServer(endpoint);
    const kernel::time_point now = clock_.Now();
    std::vector<acquire_id> expired;
    while (!target.waiters.empty() && target.waiters.front().deadline <= now) {
      expired.push_back(target.waiters.front().id);
      target.waiters.pop_front();
    }
    if (!target.waiters.empty()) StartWaitTimer(endpoint, target);
    const auto self = shared_from_this();
    for (const acquire_id& each : expired) Fail(each, http_fault::kTimeout);
  }

  // Waits for readability of an idle connection. One that becomes readable was closed by the server
  // or holds bytes that belong to no request, so it is not reused.
  void AwaitInput(const kernel::endpoint& endpoint, const connection_ptr& idle) {
    if (idle->read_wait_pending) return;
    idle->read_wait_pending = true;
    idle->socket.async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        [self = shared_from_this(), endpoint, idle](const boost::system::error_code&) {
          idle->read_wait_pending = false;
          if (!idle->idle || !idle->socket.is_open()) return;
          if (Peek(idle->socket) == socket_state::kEmpty) return self->AwaitInput(endpoint, idle);
          server& target = self->FindOrAddServer(endpoint);
          std::erase(target.idle, idle);
          idle->idle = false;
          self->Discard(endpoint, target, *idle);
        });
  }

  void StartIdleTimer() {
    idle_timer_.Start(limits_.idle_timeout / 2, [this] { CloseExpiredConnections(); });
  }

  void CloseExpiredConnections() {
    const kernel::time_point idle_cutoff = clock_.Now() - limits_.idle_timeout;
    bool has_idle_connections = false;
    for (auto& [endpoint, target] : servers_) {
      target.open -= std::erase_if(target.idle, [&](const connection_ptr& each) {
        if (each->idle_since > idle_cutoff) return false;
        each->idle = false;
        each->Close();
        return true;
      });
      has_idle_connections = has_idle_connections || !target.idle.empty();
    }
    std::erase_if(servers_, [](const auto& each) { return IsUnused(each.second); });
    if (has_idle_connections) StartIdleTimer();
  }

  loop::event_loop& loop_;
  pool_limits limits_;
  kernel::steady_clock_source clock_;
  loop::timer idle_timer_;
  std::unordered_map<kernel::endpoint, server> servers_;
  std::unordered_map<acquire_id, connection_pool::acquire_callback> callbacks_;
  acquire_id last_id_{};
  bool closed_ = false;
};

}  // namespace internal

connection_pool::connection_pool(loop::event_loop& loop, pool_limits limits)
    : state_(std::make_shared<internal::pool_state>(loop, limits)) {}

connection_pool::~connection_pool() { state_->Close(); }

connection_pool::acquire_id connection_pool::Acquire(const kernel::endpoint& endpoint,
                                                     acquire_callback callback) {
  return state_->Acquire(endpoint, std::move(callback));
}

void connection_pool::Cancel(acquire_id id) { state_->Cancel(id); }

void connection_pool::Release(const kernel::endpoint& endpoint, connection_ptr released,
                              bool reusable) {
  state_->Release(endpoint, std::move(released), reusable);
}

void connection_pool::Close() { state_->Close(); }

std::size_t connection_pool::open_connections(const kernel::endpoint& endpoint) const {
  const auto* server = state_->Find(endpoint);
  return server == nullptr ? 0 : server->open;
}

std::size_t connection_pool::idle_connections(const kernel::endpoint& endpoint) const {
  const auto* server = state_->Find(endpoint);
  return server == nullptr ? 0 : server->idle.size();
}

}  // namespace cornelweir::http
