#ifndef CORNELWEIR_SRC_OUTCOME_RETRY_DECISION_H_
#define CORNELWEIR_SRC_OUTCOME_RETRY_DECISION_H_

#include <cstdint>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/outcome/attempt_result.h"
#include "cornelweir/src/outcome/deadline.h"
#include "cornelweir/src/outcome/retry_budget.h"

namespace cornelweir::outcome {

// Whether to try again, or what speaks against it.
enum class retry_decision : std::uint8_t {
  kRetry,
  kAnswered,
  kMayHaveRun,
  kRefusedEverywhere,
  kArrivedAsRetry,
  kAttemptsUsed,
  kDeadlinePassed,
  kBudgetUsed,
};

// Decides whether an attempt is followed by another one on a different upstream. A request is
// tried again only if it did not run or may be repeated, and never if it arrived as a retry:
// retries at several hops of a call chain would multiply. A kRetry is counted in the budget.
retry_decision DecideRetry(const attempt_result& result, const deadline& limit,
                           retry_budget& budget, kernel::time_point now);

}  // namespace cornelweir::outcome

#endif  // CORNELWEIR_SRC_OUTCOME_RETRY_DECISION_H_
