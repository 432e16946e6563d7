#ifndef CORNELWEIR_SRC_OUTCOME_ATTEMPT_RESULT_H_
#define CORNELWEIR_SRC_OUTCOME_ATTEMPT_RESULT_H_

#include <optional>

#include "cornelweir/src/outcome/refusal_reason.h"
#include "cornelweir/src/outcome/request_outcome.h"

namespace cornelweir::outcome {

// How one attempt to run a request ended, with the facts about the request on which a retry
// depends.
struct attempt_result {
  request_outcome outcome = request_outcome::kUnknown;
  // Why the request was refused, if it was.
  std::optional<refusal_reason> refusal;
  // Whether there is a response to be passed to the caller as it is.
  bool has_response = false;
  // Whether the route declares its requests idempotent.
  bool idempotent = false;
  // Whether the request was already a retry, by another daemon or the caller, when it arrived here.
  bool arrived_as_retry = false;
  // Attempts of this daemon so far, including this one.
  int attempts = 1;
};

}  // namespace cornelweir::outcome

#endif  // CORNELWEIR_SRC_OUTCOME_ATTEMPT_RESULT_H_
