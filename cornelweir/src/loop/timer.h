#ifndef CORNELWEIR_SRC_LOOP_TIMER_H_
#define CORNELWEIR_SRC_LOOP_TIMER_H_

#include <functional>
#include <memory>

#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/loop/event_loop.h"

namespace cornelweir::loop {

namespace internal {
struct timer_state;
}  // namespace internal

// Calls back once after a delay, or periodically. The callback never runs after Cancel() or after
// the timer is destroyed, even if the delay has already passed. It may restart, cancel or destroy
// its own timer.
class timer {
 public:
  explicit timer(event_loop& loop);
  timer(timer&&) noexcept = default;
  // Asio declares that cancelling may throw, but cancelling a timer does not.
  // NOLINTNEXTLINE(bugprone-exception-escape)
  timer& operator=(timer&& other) noexcept;
  timer(const timer&) = delete;
  timer& operator=(const timer&) = delete;
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~timer();

  // Start() calls back once after the delay, StartPeriodic() after every interval. Both replace a
  // pending callback.
  void Start(kernel::microseconds delay, std::function<void()> callback);
  void StartPeriodic(kernel::microseconds interval, std::function<void()> callback);
  void Cancel();

  // Whether the timer is active: started, and neither expired nor cancelled.
  bool running() const;

 private:
  std::shared_ptr<internal::timer_state> state_;
};

}  // namespace cornelweir::loop

#endif  // CORNELWEIR_SRC_LOOP_TIMER_H_
