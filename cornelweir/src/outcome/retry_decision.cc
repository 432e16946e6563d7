#include "cornelweir/src/outcome/retry_decision.h"

#include "cornelweir/src/outcome/limits.h"

namespace cornelweir::outcome {

retry_decision DecideRetry(const attempt_result& result, const deadline& limit,
                           retry_budget& budget, kernel::time_point now) {
  if (result.answered) return retry_decision::kAnswered;
  if (result.outcome != request_outcome::kNotRun && !result.idempotent) {
    return retry_decision::kMayHaveRun;
  }
  if (result.refusal && !MayPassElsewhere(*result.refusal)) {
    return retry_decision::kRefusedEverywhere;
  }
  if (result.arrived_as_retry) return retry_decision::kArrivedAsRetry;
  if (result.attempts >= kMaxAttempts) return retry_decision::kAttemptsUsed;
  if (limit.HasPassed(now)) return retry_decision::kDeadlinePassed;
  return budget.TryRetry(now) ? retry_decision::kRetry : retry_decision::kBudgetUsed;
}

}  // namespace cornelweir::outcome
