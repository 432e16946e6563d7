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
  using ticket = connection_pool::ticket;

  pool_state(loop::event_loop& loop, pool_limits limits)
      : loop_(loop), limits_(limits), sweep_(loop) {}

  ticket Acquire(const kernel::endpoint& endpoint, connection_pool::acquire_callback callback) {
    last_ticket_ = kernel::Next(last_ticket_);
    const ticket issued = last_ticket_;
    callbacks_.emplace(issued, std::move(callback));
    server& target = ServerOf(endpoint);
    if (!target.valid) {
      FailLater(issued, http_fault::kBadEndpoint);
      servers_.erase(endpoint);
    } else if (connection_ptr idle = TakeIdle(target)) {
      DeliverLater(endpoint, issued, std::move(idle));
    } else if (target.open < limits_.connections) {
      Connect(endpoint, target, issued);
    } else if (target.waiters.size() < limits_.waiters) {
      target.waiters.push_back(waiter{issued, clock_.Now() + limits_.wait_timeout});
      if (!target.wait_timer.running()) ArmWaitTimer(endpoint, target);
    } else {
      FailLater(issued, http_fault::kPoolExhausted);
    }
    return issued;
  }

  void Cancel(ticket waiting) { callbacks_.erase(waiting); }

  void Release(const kernel::endpoint& endpoint, connection_ptr released, bool reusable) {
    server& target = ServerOf(endpoint);
    const bool clean = reusable && !closed_ && !released->reader.has_buffered_bytes() &&
                       Peek(released->socket) == socket_state::kQuiet;
    if (!clean) return Discard(endpoint, target, *released);
    if (const auto next = NextWaiter(target)) {
      return DeliverLater(endpoint, *next, std::move(released));
    }
    released->idle = true;
    released->idle_since = clock_.Now();
    Watch(endpoint, released);
    target.idle.push_back(std::move(released));
    if (!sweep_.running()) ArmSweep();
  }

  void Close() {
    closed_ = true;
    sweep_.Cancel();
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
    ticket issued;
    kernel::time_point until;
  };

  struct server {
    explicit server(loop::event_loop& loop) : wait_timer(loop) {}

    bool valid = false;
    boost::asio::ip::tcp::endpoint address;
    // Idle, connecting and in use.
    std::size_t open = 0;
    std::vector<connection_ptr> idle;
    std::deque<waiter> waiters;
    loop::timer wait_timer;
  };

  server& ServerOf(const kernel::endpoint& endpoint) {
    const auto added = servers_.try_emplace(endpoint, loop_);
    server& target = added.first->second;
    if (added.second) {
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

  // The most recently used connection is taken first, so that a falling load leaves the others
  // idle long enough to be closed.
  connection_ptr TakeIdle(server& target) {
    while (!target.idle.empty()) {
      connection_ptr candidate = std::move(target.idle.back());
      target.idle.pop_back();
      candidate->idle = false;
      if (Peek(candidate->socket) == socket_state::kQuiet) return candidate;
      candidate->Close();
      --target.open;
    }
    return nullptr;
  }

  // The first waiter whose callback is still wanted.
  std::optional<ticket> NextWaiter(server& target) {
    while (!target.waiters.empty()) {
      const ticket next = target.waiters.front().issued;
      target.waiters.pop_front();
      if (callbacks_.contains(next)) return next;
    }
    return std::nullopt;
  }

  void Connect(const kernel::endpoint& endpoint, server& target, ticket issued) {
    ++target.open;
    auto opened = std::make_shared<connection>(loop_);
    auto timeout = std::make_shared<loop::timer>(loop_);
    timeout->Start(limits_.connect_timeout, [opened] { opened->Close(); });
    opened->socket.async_connect(
        target.address, [self = shared_from_this(), endpoint, issued, opened,
                         timeout](boost::system::error_code error) {
          timeout->Cancel();
          // The timer may have closed a socket whose connection was just established.
          if (!error && !opened->socket.is_open()) error = boost::asio::error::timed_out;
          if (!error) opened->socket.set_option(boost::asio::ip::tcp::no_delay(true), error);
          if (!error) opened->socket.non_blocking(true, error);
          if (error) {
            self->Fail(issued, http_fault::kConnectFailed);
            self->Discard(endpoint, self->ServerOf(endpoint), *opened);
          } else {
            self->Deliver(endpoint, issued, opened);
          }
        });
  }

  void Discard(const kernel::endpoint& endpoint, server& target, connection& closed) {
    closed.Close();
    --target.open;
    if (const auto next = NextWaiter(target)) return Connect(endpoint, target, *next);
    if (IsUnused(target)) servers_.erase(endpoint);
  }

  // Upstreams come and go with new addresses, so those without connections are forgotten.
  static bool IsUnused(const server& target) { return target.open == 0 && target.waiters.empty(); }

  void Deliver(const kernel::endpoint& endpoint, ticket issued, connection_ptr ready) {
    const auto found = callbacks_.find(issued);
    if (found == callbacks_.end()) return Release(endpoint, std::move(ready), true);
    const auto callback = std::move(found->second);
    callbacks_.erase(found);
    callback(std::move(ready));
  }

  void DeliverLater(const kernel::endpoint& endpoint, ticket issued, connection_ptr ready) {
    loop_.Post([self = shared_from_this(), endpoint, issued, ready = std::move(ready)] {
      self->Deliver(endpoint, issued, ready);
    });
  }

  void Fail(ticket issued, http_fault fault) {
    const auto found = callbacks_.find(issued);
    if (found == callbacks_.end()) return;
    const auto callback = std::move(found->second);
    callbacks_.erase(found);
    callback(http_error{fault, false});
  }

  void FailLater(ticket issued, http_fault fault) {
    loop_.Post([self = shared_from_this(), issued, fault] { self->Fail(issued, fault); });
  }

  void ArmWaitTimer(const kernel::endpoint& endpoint, server& target) {
    const auto delay =
        std::max(kernel::microseconds(0), target.waiters.front().until - clock_.Now());
    target.wait_timer.Start(delay, [this, endpoint] { ExpireWaiters(endpoint); });
  }

  void ExpireWaiters(const kernel::endpoint& endpoint) {
    server& target = ServerOf(endpoint);
    const kernel::time_point now = clock_.Now();
    std::vector<ticket> expired;
    while (!target.waiters.empty() && target.waiters.front().until <= now) {
      expired.push_back(target.waiters.front().issued);
      target.waiters.pop_front();
    }
    if (!target.waiters.empty()) ArmWaitTimer(endpoint, target);
    const auto self = shared_from_this();
    for (const ticket& each : expired) Fail(each, http_fault::kTimeout);
  }

  // An idle connection must stay silent. One that becomes readable was closed by the server, or
  // carries bytes that belong to no request, and is not used again.
  void Watch(const kernel::endpoint& endpoint, const connection_ptr& idle) {
    if (idle->watched) return;
    idle->watched = true;
    idle->socket.async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        [self = shared_from_this(), endpoint, idle](const boost::system::error_code&) {
          idle->watched = false;
          if (!idle->idle || !idle->socket.is_open()) return;
          if (Peek(idle->socket) == socket_state::kQuiet) return self->Watch(endpoint, idle);
          server& target = self->ServerOf(endpoint);
          std::erase(target.idle, idle);
          idle->idle = false;
          self->Discard(endpoint, target, *idle);
        });
  }

  void ArmSweep() {
    sweep_.Start(limits_.idle_timeout / 2, [this] { Sweep(); });
  }

  void Sweep() {
    const kernel::time_point oldest = clock_.Now() - limits_.idle_timeout;
    bool remaining = false;
    for (auto& [endpoint, target] : servers_) {
      target.open -= std::erase_if(target.idle, [&](const connection_ptr& each) {
        if (each->idle_since > oldest) return false;
        each->idle = false;
        each->Close();
        return true;
      });
      remaining = remaining || !target.idle.empty();
    }
    std::erase_if(servers_, [](const auto& each) { return IsUnused(each.second); });
    if (remaining) ArmSweep();
  }

  loop::event_loop& loop_;
  pool_limits limits_;
  kernel::steady_clock_source clock_;
  loop::timer sweep_;
  std::unordered_map<kernel::endpoint, server> servers_;
  std::unordered_map<ticket, connection_pool::acquire_callback> callbacks_;
  ticket last_ticket_{};
  bool closed_ = false;
};

}  // namespace internal

connection_pool::connection_pool(loop::event_loop& loop, pool_limits limits)
    : state_(std::make_shared<internal::pool_state>(loop, limits)) {}

connection_pool::~connection_pool() { state_->Close(); }

connection_pool::ticket connection_pool::Acquire(const kernel::endpoint& endpoint,
                                                 acquire_callback callback) {
  return state_->Acquire(endpoint, std::move(callback));
}

void connection_pool::Cancel(ticket waiting) { state_->Cancel(waiting); }

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
