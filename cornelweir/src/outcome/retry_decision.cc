#include "cornelweir/src/outcome/retry_decision.h"

#include "cornelweir/src/outcome/limits.h"

namespace cornelweir::outcome {

retry_decision DecideRetry(const attempt_result& result, const deadline& request_deadline,
                           retry_budget& budget, kernel::time_point now) {
  if (result.has_response) return retry_decision::kHasResponse;
  if (result.outcome != request_outcome::kNotRun && !result.idempotent) {
    return retry_decision::kMayHaveRun;
  }
  if (result.refusal && !MaySucceedOnAnotherUpstream(*result.refusal)) {
    return retry_decision::kRefusedEverywhere;
  }
  if (result.arrived_as_retry) return retry_decision::kArrivedAsRetry;
  if (result.attempts >= kMaxAttempts) return retry_decision::kAttemptsExhausted;
  if (request_deadline.HasPassed(now)) return retry_decision::kDeadlinePassed;
  return budget.TryRetry(now) ? retry_decision::kRetry : retry_decision::kBudgetExhausted;
}

}  // namespace cornelweir::outcome
