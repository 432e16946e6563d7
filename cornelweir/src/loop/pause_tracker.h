#ifndef CORNELWEIR_SRC_LOOP_PAUSE_TRACKER_H_
#define CORNELWEIR_SRC_LOOP_PAUSE_TRACKER_H_

#include <optional>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::loop {

// Detects that the process did not run for a while, because it was stopped or got no processor
// time. Input that is handled right after such a pause may have waited unread since its beginning,
// so the time limits that it states are older than they seem.
class pause_tracker {
 public:
  // Period at which Tick() must be called from the loop.
  static constexpr kernel::milliseconds kTickPeriod{50};
  // A longer time between two ticks is a pause.
  static constexpr kernel::milliseconds kMinPause{250};
  // Time after a pause within which the input that waited is read.
  static constexpr kernel::milliseconds kInputDrainTime{100};

  explicit pause_tracker(kernel::time_point now) : last_tick_(now) {}

  void Tick(kernel::time_point now) {
    if (now - last_tick_ >= kMinPause) {
      pause_started_at_ = last_tick_;
      pause_ended_at_ = now;
    }
    last_tick_ = now;
  }

  // The earliest time at which input that is handled now may have arrived.
  kernel::time_point InputArrival(kernel::time_point now) const {
    if (now - last_tick_ >= kMinPause) return last_tick_;
    if (pause_ended_at_ && now - *pause_ended_at_ < kInputDrainTime) return pause_started_at_;
    return now;
  }

 private:
  kernel::time_point last_tick_;
  kernel::time_point pause_started_at_;
  std::optional<kernel::time_point> pause_ended_at_;
};

}  // namespace cornelweir::loop

#endif  // CORNELWEIR_SRC_LOOP_PAUSE_TRACKER_H_
