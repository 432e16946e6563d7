#ifndef CORNELWEIR_SRC_OUTCOME_RETRY_DECISION_H_
#define CORNELWEIR_SRC_OUTCOME_RETRY_DECISION_H_

#include <cstdint>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/outcome/attempt_result.h"
#include "cornelweir/src/outcome/deadline.h"
#include "cornelweir/src/outcome/retry_budget.h"

namespace cornelweir::outcome {

// Whether to retry a request; all values but kRetry are the reason not to.
enum class retry_decision : std::uint8_t {
  kRetry,
  kHasResponse,
  kMayHaveRun,
  kRefusedEverywhere,
  kArrivedAsRetry,
  kAttemptsExhausted,
  kDeadlinePassed,
  kBudgetExhausted,
};

// Decides whether to try another upstream after an attempt. A request is retried only if it did not
// run or is idempotent, and never if it arrived as a retry, because retries at several hops of a
// call chain multiply. If the result is kRetry, the retry has been counted in the budget.
retry_decision DecideRetry(const attempt_result& result, const deadline& request_deadline,
                           retry_budget& budget, kernel::time_point now);

}  // namespace cornelweir::outcome

#endif  // CORNELWEIR_SRC_OUTCOME_RETRY_DECISION_H_
