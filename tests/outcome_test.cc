#include "cornelweir/outcome.h"

#include <gtest/gtest.h>

namespace cornelweir::outcome {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const kernel::time_point kStart{seconds(1000)};

TEST(RequestOutcome, HasOneNameInBothDirections) {
  for (const auto outcome :
       {request_outcome::kRan, request_outcome::kNotRun, request_outcome::kUnknown}) {
    request_outcome parsed{};
    ASSERT_TRUE(ParseOutcome(OutcomeName(outcome), parsed));
    EXPECT_EQ(parsed, outcome);
  }
  request_outcome parsed = request_outcome::kUnknown;
  EXPECT_FALSE(ParseOutcome("Ran", parsed));
  EXPECT_EQ(OutcomeName(request_outcome::kNotRun), "not-run");
}

// Guards against a request that may have run being repeated although that is not allowed.
TEST(DecideRetry, RepeatsOnlyWhatDidNotRunOrMayBeRepeated) {
  retry_budget budget;
  const deadline limit = deadline::After(seconds(1), kStart);
  attempt_result result;
  EXPECT_EQ(DecideRetry(result, limit, budget, kStart), retry_decision::kMayHaveRun);
  result.outcome = request_outcome::kNotRun;
  EXPECT_EQ(DecideRetry(result, limit, budget, kStart), retry_decision::kRetry);
  result.outcome = request_outcome::kUnknown;
  result.idempotent = true;
  EXPECT_EQ(DecideRetry(result, limit, budget, kStart), retry_decision::kRetry);
  result.arrived_as_retry = true;
  EXPECT_EQ(DecideRetry(result, limit, budget, kStart), retry_decision::kArrivedAsRetry);
}

}  // namespace
}  // namespace cornelweir::outcome
