// Tests of the times of a graceful stop.

#include "cornelweir/shutdown.h"

#include <gtest/gtest.h>

#include <chrono>

namespace cornelweir::shutdown {
namespace {

// Guards against a process that stops its loop too late to end within its grace period, and against
// a period that is too short for the reserve.
TEST(StopTime, LeavesTimeForTheExit) {
  const kernel::time_point requested{std::chrono::seconds(100)};
  EXPECT_EQ(StopTime(requested, kernel::milliseconds(6'000)),
            requested + kernel::milliseconds(6'000) - kExitReserve);
  EXPECT_EQ(StopTime(requested, kernel::milliseconds(100)), requested);
}

}  // namespace
}  // namespace cornelweir::shutdown
