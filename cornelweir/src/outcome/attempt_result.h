#ifndef CORNELWEIR_SRC_OUTCOME_ATTEMPT_RESULT_H_
#define CORNELWEIR_SRC_OUTCOME_ATTEMPT_RESULT_H_

#include <optional>

#include "cornelweir/src/outcome/refusal_reason.h"
#include "cornelweir/src/outcome/request_outcome.h"

namespace cornelweir::outcome {

// How one attempt to run a request ended, and what is known of the request.
struct attempt_result {
  request_outcome outcome = request_outcome::kUnknown;
  // Why the request was refused, if it was.
  std::optional<refusal_reason> refusal;
  // Whether there is a response that the caller should get as it is.
  bool answered = false;
  // Whether the route says that its requests may be repeated.
  bool idempotent = false;
  // Whether the request reached this daemon as a retry of another daemon or of its caller.
  bool arrived_as_retry = false;
  // Attempts made so far by this daemon, this one included.
  int attempts = 1;
};

}  // namespace cornelweir::outcome

#endif  // CORNELWEIR_SRC_OUTCOME_ATTEMPT_RESULT_H_
