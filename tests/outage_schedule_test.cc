#include "cornelweir/src/logging/outage_schedule.h"

#include <gtest/gtest.h>

#include <optional>

namespace cornelweir::logging {
namespace {

using kernel::milliseconds;

// Guards against a line for each moment of a long outage, and against a long outage of which the
// latest lines say nothing.
TEST(OutageSchedule, ReportsAnOutageOnceEachPeriod) {
  kernel::manual_clock clock;
  outage_schedule schedule(milliseconds(2'000), milliseconds(10'000));
  schedule.Begin(clock.Now());
  int reports = 0;
  for (int passed = 0; passed < 32'000; passed += 50) {
    schedule.Begin(clock.Now());
    if (schedule.IsReportDue(clock.Now())) ++reports;
    EXPECT_EQ(reports, passed < 2'000 ? 0 : 1 + (passed - 2'000) / 10'000) << passed;
    clock.Advance(milliseconds(50));
  }
  EXPECT_EQ(schedule.Duration(clock.Now()), milliseconds(32'000));
  EXPECT_EQ(schedule.End(clock.Now()), milliseconds(32'000));
  EXPECT_EQ(schedule.Duration(clock.Now()), std::nullopt);
  EXPECT_FALSE(schedule.IsReportDue(clock.Now()));
}

// Guards against the end of an outage that no line announced, and against an outage that counts the
// time of an earlier one.
TEST(OutageSchedule, IsSilentAboutShortOutages) {
  kernel::manual_clock clock;
  outage_schedule schedule(milliseconds(2'000), milliseconds(10'000));
  EXPECT_EQ(schedule.End(clock.Now()), std::nullopt);
  for (int outage = 0; outage < 3; ++outage) {
    schedule.Begin(clock.Now());
    clock.Advance(milliseconds(1'999));
    EXPECT_FALSE(schedule.IsReportDue(clock.Now()));
    EXPECT_EQ(schedule.End(clock.Now()), std::nullopt);
  }
  schedule.Begin(clock.Now());
  clock.Advance(milliseconds(2'000));
  EXPECT_TRUE(schedule.IsReportDue(clock.Now()));
  EXPECT_EQ(schedule.End(clock.Now()), milliseconds(2'000));
  EXPECT_EQ(schedule.End(clock.Now()), std::nullopt);
}

}  // namespace
}  // namespace cornelweir::logging
