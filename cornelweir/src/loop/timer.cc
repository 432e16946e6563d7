#include "cornelweir/src/loop/timer.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <utility>

namespace cornelweir::loop {
namespace internal {

// Shared with queued completions of the Asio timer, so it may outlive the timer.
struct timer_state : std::enable_shared_from_this<timer_state> {
  explicit timer_state(boost::asio::io_context& context) : asio_timer(context) {}

  void Arm(kernel::microseconds delay) {
    asio_timer.expires_after(delay);
    // Asio may have queued a successful completion before the cancellation, so the error code alone
    // does not tell whether the callback is still valid.
    asio_timer.async_wait([self = shared_from_this(), expected_generation = generation](
                              const boost::system::error_code& error) {
      if (!error && self->generation == expected_generation) self->Expire();
    });
  }

  void Expire() {
    // The callback may restart or cancel the timer, which replaces the member, so it is moved out.
    std::function<void()> current_callback = std::move(callback);
    const std::uint64_t generation_before = generation;
    if (interval == kernel::microseconds::zero()) running = false;
    current_callback();
    if (generation != generation_before || !running) return;
    callback = std::move(current_callback);
    Arm(interval);
  }

  void Start(kernel::microseconds delay, kernel::microseconds new_interval,
             std::function<void()> new_callback) {
    ++generation;
    running = true;
    interval = new_interval;
    callback = std::move(new_callback);
    Arm(delay);
  }

  void Cancel() {
    if (!running) return;
    ++generation;
    running = false;
    callback = nullptr;
    asio_timer.cancel();
  }

  boost::asio::steady_timer asio_timer;
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
  state_->Start(delay, kernel::microseconds::zero(), std::move(callback));
}

void timer::StartPeriodic(kernel::microseconds interval, std::function<void()> callback) {
  state_->Start(interval, interval, std::move(callback));
}

void timer::Cancel() { state_->Cancel(); }

bool timer::running() const { return state_->running; }

}  // namespace cornelweir::loop
