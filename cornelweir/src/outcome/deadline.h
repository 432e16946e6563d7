#ifndef CORNELWEIR_SRC_OUTCOME_DEADLINE_H_
#define CORNELWEIR_SRC_OUTCOME_DEADLINE_H_

#include <algorithm>
#include <chrono>
#include <compare>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/outcome/limits.h"

namespace cornelweir::outcome {

// The time after which nobody waits for the response to a request.
class deadline {
 public:
  constexpr deadline() = default;
  constexpr explicit deadline(kernel::time_point time) : time_(time) {}

  // The deadline of a request that may take this long from now on.
  static constexpr deadline After(kernel::microseconds timeout, kernel::time_point now) {
    return deadline(now + timeout);
  }

  constexpr kernel::time_point time() const { return time_; }

  constexpr bool HasPassed(kernel::time_point now) const { return now >= time_; }

  // The time left; zero if the deadline has passed.
  constexpr kernel::microseconds Remaining(kernel::time_point now) const {
    return HasPassed(now) ? kernel::microseconds::zero() : time_ - now;
  }

  // The time left in whole milliseconds, rounded down; the unit in which it is sent to the next
  // hop.
  constexpr kernel::milliseconds RemainingMs(kernel::time_point now) const {
    return std::chrono::floor<kernel::milliseconds>(Remaining(now));
  }

  // The deadline for the next hop. It is earlier by the time reserved for the way back of the
  // response, at most 1 / kHopReserveDivisor of the time left.
  constexpr deadline ForNextHop(kernel::time_point now,
                                kernel::microseconds reserve = kHopReserve) const {
    return deadline(time_ - std::min(reserve, Remaining(now) / kHopReserveDivisor));
  }

  friend constexpr auto operator<=>(const deadline&, const deadline&) = default;

 private:
  kernel::time_point time_{};
};

}  // namespace cornelweir::outcome

#endif  // CORNELWEIR_SRC_OUTCOME_DEADLINE_H_
