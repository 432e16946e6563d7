#include "cornelweir/src/loop/timer.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <utility>

namespace cornelweir::loop {
namespace internal {

// Outlives the timer for as long as a completion of the Asio timer is queued.
struct timer_state : std::enable_shared_from_this<timer_state> {
  explicit timer_state(boost::asio::io_context& context) : waiter(context) {}

  void Arm(kernel::microseconds delay) {
    waiter.expires_after(delay);
    // Asio may have queued a completion before a cancellation, so that its error code alone does
    // not tell whether the callback is still wanted.
    waiter.async_wait(
        [self = shared_from_this(), expected = generation](const boost::system::error_code& error) {
          if (!error && self->generation == expected) self->Expire();
        });
  }

  void Expire() {
    // The callback may restart or cancel the timer, so it is not called in place.
    std::function<void()> current = std::move(callback);
    const std::uint64_t before = generation;
    if (interval == kernel::microseconds::zero()) running = false;
    current();
    if (generation != before || !running) return;
    callback = std::move(current);
    Arm(interval);
  }

  void Begin(kernel::microseconds delay, kernel::microseconds period,
             std::function<void()> function) {
    ++generation;
    running = true;
    interval = period;
    callback = std::move(function);
    Arm(delay);
  }

  void Cancel() {
    if (!running) return;
    ++generation;
    running = false;
    callback = nullptr;
    waiter.cancel();
  }

  boost::asio::steady_timer waiter;
  std::function<void()> callback;
  kernel::microseconds interval{};
  std::uint64_t generation = 0;
  bool running = false;
};

}  // namespace internal

timer::timer(event_loop& loop) : state_(std::make_shared<internal::timer_state>(loop.context())) {}

// NOLINTNEXTLINE(bugprone-exception-escape)
timer& timer::operator=(timer&& other) noexcept {
  if (this == &other) return *this;
  if (state_) state_->Cancel();
  state_ = std::move(other.state_);
  return *this;
}

// NOLINTNEXTLINE(bugprone-exception-escape)
timer::~timer() {
  if (state_) state_->Cancel();
}

void timer::Start(kernel::microseconds delay, std::function<void()> callback) {
  state_->Begin(delay, kernel::microseconds::zero(), std::move(callback));
}

void timer::StartPeriodic(kernel::microseconds interval, std::function<void()> callback) {
  state_->Begin(interval, interval, std::move(callback));
}

void timer::Cancel() { state_->Cancel(); }

bool timer::running() const { return state_->running; }

}  // namespace cornelweir::loop
