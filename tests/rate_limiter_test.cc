// Tests that requests start within the rate limit of an upstream.

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <deque>
#include <utility>
#include <vector>

#include "cornelweir/admission.h"

namespace cornelweir::admission {
namespace {

using std::chrono::milliseconds;

constexpr kernel::time_point kStart{std::chrono::seconds(100)};
constexpr kernel::request_rate kTwoPerSecond{2'000};

// Guards against a limit that holds requests back although none was sent for a while, and against
// credit for the time before the limit was stated.
TEST(RateLimiter, CreditsOnlyTimeUnderTheLimit) {
  rate_limiter limiter;
  EXPECT_EQ(limiter.WaitFor(5, kStart), milliseconds(0));
  limiter.SetRate(kTwoPerSecond, kStart);
  EXPECT_EQ(limiter.WaitFor(1, kStart), milliseconds(0));
  EXPECT_EQ(limiter.WaitFor(2, kStart), milliseconds(500));
  limiter.OnStart(kStart);
  EXPECT_EQ(limiter.WaitFor(1, kStart), milliseconds(500));
  const kernel::time_point later = kStart + milliseconds(10'000);
  EXPECT_EQ(limiter.WaitFor(2, later), milliseconds(0)) << "no credit for idle time";
  EXPECT_EQ(limiter.WaitFor(3, later), milliseconds(500)) << "more credit than kRateCreditTime";
  limiter.SetRate(std::nullopt, later);
  EXPECT_EQ(limiter.WaitFor(100, later), milliseconds(0));
}

// Guards against an upstream that is never asked again, and so can never lift its limit.
TEST(RateLimiter, AsksAnUpstreamThatTakesNoRequestsOnceInAWhile) {
  rate_limiter limiter;
  limiter.SetRate(kernel::request_rate(0), kStart);
  limiter.OnStart(kStart);
  EXPECT_EQ(limiter.WaitFor(1, kStart), milliseconds(4'000));
}

// Guards against bursts above the limit, whatever the arrivals and the changes of the limit: in any
// 4 s, a limit that stays the same is exceeded by its credit and one request at most.
TEST(RateLimiter, KeepsWithinTheRateInAnyPeriod) {
  ::setenv("RC_PARAMS", "seed=24", /*overwrite=*/0);
  const bool property_holds = rc::check([] {
    const auto rate = *rc::gen::inRange<std::int64_t>(kMinRate.value(), 200'000);
    const auto pauses_ms = *rc::gen::container<std::vector<int>>(
        200, rc::gen::weightedOneOf<int>(
                 {{20, rc::gen::inRange(0, 30)}, {1, rc::gen::inRange(0, 5'000)}}));
    rate_limiter limiter;
    limiter.SetRate(kernel::request_rate(rate), kStart);
    std::deque<kernel::time_point> starts;
    kernel::time_point now = kStart;
    constexpr milliseconds kPeriod{4'000};
    for (const int pause : pauses_ms) {
      now += milliseconds(pause);
      while (limiter.WaitFor(1, now) == milliseconds(0)) {
        limiter.OnStart(now);
        starts.push_back(now);
      }
      while (!starts.empty() && now - starts.front() >= kPeriod) starts.pop_front();
      const double allowed = static_cast<double>(rate) / 1e3 *
                                 std::chrono::duration<double>(kPeriod + kRateCreditTime).count() +
                             1;
      RC_ASSERT(static_cast<double>(starts.size()) <= allowed + 1e-3);
    }
  });
  EXPECT_TRUE(property_holds);
}

}  // namespace
}  // namespace cornelweir::admission
