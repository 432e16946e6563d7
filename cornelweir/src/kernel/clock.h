#ifndef CORNELWEIR_SRC_KERNEL_CLOCK_H_
#define CORNELWEIR_SRC_KERNEL_CLOCK_H_

#include <chrono>
#include <concepts>
#include <ctime>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::kernel {

// The clock type of all time points: monotonic, in microseconds, with an arbitrary epoch.
struct decision_clock {
  using duration = microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<decision_clock>;
  // The standard clock requirements fix this name.
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

using time_point = decision_clock::time_point;

// A source of the current time.
template <class T>
concept clock_source = requires(const T& clock) {
  { clock.Now() } -> std::same_as<time_point>;
};

// Reads the monotonic clock of the host. It includes the time for which the host was suspended,
// which std::chrono::steady_clock omits, so that a deadline that passed meanwhile has passed.
class steady_clock_source {
 public:
  time_point Now() const {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::duration_cast<microseconds>(
        std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
  }
};

// A clock that advances only on request, for replay and tests.
class manual_clock {
 public:
  time_point Now() const { return now_; }
  void Advance(microseconds duration) { now_ += duration; }

 private:
  time_point now_{};
};

static_assert(clock_source<steady_clock_source>);
static_assert(clock_source<manual_clock>);

}  // namespace cornelweir::kernel

#endif  // CORNELWEIR_SRC_KERNEL_CLOCK_H_
