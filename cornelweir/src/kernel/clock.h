#ifndef CORNELWEIR_SRC_KERNEL_CLOCK_H_
#define CORNELWEIR_SRC_KERNEL_CLOCK_H_

#include <chrono>
#include <concepts>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::kernel {

// The time base of all decisions: monotonic, in microseconds, with an arbitrary origin.
struct decision_clock {
  using duration = microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<decision_clock>;
  // The name that the standard library asks for.
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

using time_point = decision_clock::time_point;

// Anything that tells the current time.
template <class T>
concept clock_source = requires(const T& clock) {
  { clock.Now() } -> std::same_as<time_point>;
};

// The monotonic clock of the machine.
class steady_clock_source {
 public:
  time_point Now() const {
    return time_point(std::chrono::duration_cast<microseconds>(
        std::chrono::steady_clock::now().time_since_epoch()));
  }
};

// A clock that moves only when it is told to; for replay and tests.
class manual_clock {
 public:
  time_point Now() const { return now_; }
  void Advance(microseconds by) { now_ += by; }

 private:
  time_point now_{};
};

static_assert(clock_source<steady_clock_source>);
static_assert(clock_source<manual_clock>);

}  // namespace cornelweir::kernel

#endif  // CORNELWEIR_SRC_KERNEL_CLOCK_H_
