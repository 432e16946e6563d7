#ifndef CORNELWEIR_OUTCOME_H_
#define CORNELWEIR_OUTCOME_H_

// Outcomes, deadlines and retries of requests.

#include "cornelweir/src/outcome/attempt_result.h"
#include "cornelweir/src/outcome/deadline.h"
#include "cornelweir/src/outcome/limits.h"
#include "cornelweir/src/outcome/refusal_reason.h"
#include "cornelweir/src/outcome/request_outcome.h"
#include "cornelweir/src/outcome/retry_budget.h"
#include "cornelweir/src/outcome/retry_decision.h"
#include "cornelweir/src/outcome/shared_retry_budget.h"

#endif  // CORNELWEIR_OUTCOME_H_
