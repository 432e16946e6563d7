// Tests when storage that failed is tried again.

#include "cornelweir/src/storage/storage_health.h"

#include <gtest/gtest.h>

#include "cornelweir/src/storage/limits.h"

namespace cornelweir::storage {
namespace {

using kernel::milliseconds;
using kernel::time_point;

// Fails the storage until the time, which moves on in steps. Returns the number of attempts.
int FailUntil(storage_health& health, time_point& now, time_point end) {
  int attempts = 0;
  for (; now < end; now += milliseconds(10)) {
    if (!health.IsAttemptDue(now)) continue;
    health.OnAttempt();
    health.OnFault(now);
    ++attempts;
  }
  return attempts;
}

void Recover(storage_health& health, time_point& now) {
  while (!health.IsAttemptDue(now)) now += milliseconds(10);
  health.OnAttempt();
  health.OnRecovered(now);
}

// Guards against a host that takes part although its storage failed, and against one that never
// tries it again.
TEST(StorageHealth, IsHealthyAgainOnlyAfterASuccessfulAttempt) {
  storage_health health;
  time_point now(milliseconds(1000));
  EXPECT_TRUE(health.IsHealthy());
  EXPECT_FALSE(health.IsAttemptDue(now));
  health.OnFault(now);
  EXPECT_EQ(health.state(), storage_state::kFailing);
  EXPECT_FALSE(health.IsAttemptDue(now));
  now += kMinRetryDelay;
  ASSERT_TRUE(health.IsAttemptDue(now));
  health.OnAttempt();
  EXPECT_EQ(health.state(), storage_state::kRecovering);
  EXPECT_FALSE(health.IsHealthy());
  EXPECT_FALSE(health.IsAttemptDue(now + milliseconds(60'000)));
  const storage_outage ended = health.OnRecovered(now);
  EXPECT_TRUE(health.IsHealthy());
  EXPECT_EQ(ended.duration, kMinRetryDelay);
  EXPECT_EQ(ended.attempts, 1U);
  EXPECT_FALSE(health.CurrentOutage(now));
}

// Guards against a host that spins on a full disk, and against one that is away for long after its
// disk has room again.
TEST(StorageHealth, TriesAtMostTwiceASecondAndAtLeastOnce) {
  storage_health health;
  time_point now(milliseconds(0));
  health.OnFault(now);
  FailUntil(health, now, time_point(milliseconds(2'000)));
  const int attempts = FailUntil(health, now, time_point(milliseconds(62'000)));
  EXPECT_LE(attempts, 121);
  EXPECT_GE(attempts, 60);
}

// Guards against a host that reads its log again and again, and fills its own log, because its disk
// has room for moments only.
TEST(StorageHealth, TriesLessOftenWhileTheStorageIsUnstable) {
  storage_health health;
  time_point now(milliseconds(0));
  int recoveries = 0;
  while (now < time_point(milliseconds(60'000))) {
    health.OnFault(now);
    Recover(health, now);
    ++recoveries;
  }
  EXPECT_LE(recoveries, 40);
  EXPECT_GE(recoveries, 25);
  now += kStablePeriod;
  health.OnFault(now);
  EXPECT_TRUE(health.IsAttemptDue(now + kMinRetryDelay));
}

// Guards against a log without a trace of an outage that lasts, and against one that it fills.
TEST(StorageHealth, ReportsALongOutageOnceAMinute) {
  storage_health health;
  time_point now(milliseconds(0));
  EXPECT_FALSE(health.IsReportDue(now));
  health.OnFault(now);
  int reports = 0;
  for (; now < time_point(milliseconds(600'000)); now += milliseconds(10)) {
    if (health.IsAttemptDue(now)) {
      health.OnAttempt();
      health.OnFault(now);
    }
    if (health.IsReportDue(now)) ++reports;
  }
  EXPECT_EQ(reports, 9);
  EXPECT_EQ(health.outages(), 1U);
}

}  // namespace
}  // namespace cornelweir::storage
