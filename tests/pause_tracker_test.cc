// Tests how long input may have waited while the process was paused.

#include <gtest/gtest.h>

#include "cornelweir/loop.h"

namespace cornelweir::loop {
namespace {

using std::chrono::milliseconds;

constexpr kernel::time_point kStart{std::chrono::seconds(100)};

// Guards against time limits that are shortened although the process runs.
TEST(PauseTracker, InputArrivesWhenItIsHandledIfTheProcessRuns) {
  pause_tracker tracker(kStart);
  kernel::time_point now = kStart;
  for (int tick = 0; tick < 10; ++tick) {
    now += pause_tracker::kTickPeriod;
    tracker.Tick(now);
    EXPECT_EQ(tracker.InputArrival(now + milliseconds(20)), now + milliseconds(20));
  }
}

// Guards against treating input that waited during a pause as new. It is handled before or after
// the first tick that follows the pause.
TEST(PauseTracker, InputThatIsHandledAfterAPauseMayBeAsOldAsThePause) {
  pause_tracker tracker(kStart);
  const kernel::time_point resumed = kStart + milliseconds(3'000);
  EXPECT_EQ(tracker.InputArrival(resumed), kStart);
  tracker.Tick(resumed);
  EXPECT_EQ(tracker.InputArrival(resumed + milliseconds(10)), kStart);
  const kernel::time_point later = resumed + pause_tracker::kInputDrainTime;
  tracker.Tick(later);
  EXPECT_EQ(tracker.InputArrival(later), later);
}

}  // namespace
}  // namespace cornelweir::loop
