#include "cornelweir/outcome.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <vector>

namespace cornelweir::outcome {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const kernel::time_point kStart{seconds(1000)};

TEST(RequestOutcome, ParsesTheNameOfEachOutcome) {
  for (const auto outcome :
       {request_outcome::kRan, request_outcome::kNotRun, request_outcome::kUnknown}) {
    request_outcome parsed{};
    ASSERT_TRUE(ParseOutcome(OutcomeName(outcome), parsed));
    EXPECT_EQ(parsed, outcome);
  }
  request_outcome parsed = request_outcome::kUnknown;
  EXPECT_FALSE(ParseOutcome("Ran", parsed));
  EXPECT_EQ(parsed, request_outcome::kUnknown);
  EXPECT_EQ(OutcomeName(request_outcome::kNotRun), "not-run");
  EXPECT_EQ(RefusalText(refusal_reason::kShuttingDown), "the daemon is shutting down");
}

// Guards against a hop sending more time to the next hop than is left, and against a call chain of
// the maximum depth of 32 hops using up a deadline by its reserves alone.
TEST(Deadline, ReservesTimeForTheResponseAtEachHop) {
  deadline limit = deadline::After(milliseconds(100), kStart);
  EXPECT_EQ(limit.ForNextHop(kStart).Remaining(kStart), milliseconds(97));
  EXPECT_EQ(limit.RemainingMs(kStart + microseconds(1)), milliseconds(99));
  EXPECT_EQ(limit.Remaining(kStart + seconds(1)), microseconds(0));
  EXPECT_EQ(limit.ForNextHop(kStart + seconds(1)), limit);
  EXPECT_TRUE(limit.HasPassed(kStart + milliseconds(100)));
  for (int hop = 0; hop < 32; ++hop) limit = limit.ForNextHop(kStart);
  EXPECT_GT(limit.Remaining(kStart), milliseconds(1));
}

// Guards against retries of requests that may have run. Covers the reasons against a retry in the
// order in which they are checked.
TEST(DecideRetry, RetriesOnlyRequestsThatDidNotRunOrAreIdempotent) {
  retry_budget budget;
  const deadline limit = deadline::After(seconds(1), kStart);
  const auto decide = [&](const attempt_result& result) {
    return DecideRetry(result, limit, budget, kStart);
  };
  attempt_result result;
  EXPECT_EQ(decide(result), retry_decision::kMayHaveRun);
  result.outcome = request_outcome::kRan;
  EXPECT_EQ(decide(result), retry_decision::kMayHaveRun);
  result.outcome = request_outcome::kNotRun;
  EXPECT_EQ(decide(result), retry_decision::kRetry);
  result.outcome = request_outcome::kUnknown;
  result.idempotent = true;
  EXPECT_EQ(decide(result), retry_decision::kRetry);
  result.attempts = kMaxAttempts;
  EXPECT_EQ(decide(result), retry_decision::kAttemptsExhausted);
  result.arrived_as_retry = true;
  EXPECT_EQ(decide(result), retry_decision::kArrivedAsRetry);
  result.has_response = true;
  EXPECT_EQ(decide(result), retry_decision::kHasResponse);
  result = {};
  result.outcome = request_outcome::kNotRun;
  result.refusal = refusal_reason::kQuarantined;
  EXPECT_EQ(decide(result), retry_decision::kRefusedEverywhere);
  result.refusal = refusal_reason::kQueueFull;
  EXPECT_EQ(DecideRetry(result, limit, budget, limit.time()), retry_decision::kDeadlinePassed);
  // Two retries were counted; the budget allows three without any requests.
  EXPECT_EQ(decide(result), retry_decision::kRetry);
  EXPECT_EQ(decide(result), retry_decision::kBudgetExhausted);
}

// Guards against retries multiplying the load of a failing service: in every window of ten seconds
// they are at most a tenth of the requests, plus kBaseRetries.
RC_GTEST_PROP(RetryBudget, HoldsInEveryWindow, ()) {
  retry_budget budget;
  std::vector<kernel::time_point> requests;
  std::vector<kernel::time_point> retries;
  kernel::time_point now = kStart;
  const auto schedule =
      *rc::gen::container<std::vector<std::uint32_t>>(500, rc::gen::inRange(0U, 1U << 20));
  const auto max_pause_ms = *rc::gen::inRange(1, 400);
  const auto in_window = [&](const std::vector<kernel::time_point>& times,
                             kernel::microseconds window = kRetryWindow) {
    return std::count_if(times.begin(), times.end(),
                         [&](kernel::time_point time) { return now - time < window; });
  };
  for (const std::uint32_t step : schedule) {
    now += milliseconds(step / 8 % static_cast<std::uint32_t>(max_pause_ms));
    if (step % 8 < 6) {
      budget.OnRequest(now);
      requests.push_back(now);
    } else {
      const bool can_retry = budget.CanRetry(now);
      RC_ASSERT(budget.TryRetry(now) == can_retry);
      if (can_retry) {
        retries.push_back(now);
        RC_ASSERT(in_window(retries) <= in_window(requests) / kRequestsPerRetry + kBaseRetries);
      } else {
        // Retries are counted for up to one bucket longer than the window.
        RC_ASSERT(in_window(retries, kRetryWindow + kRetryBucket) >= kBaseRetries);
      }
    }
  }
}

}  // namespace
}  // namespace cornelweir::outcome
