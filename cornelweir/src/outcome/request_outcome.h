#ifndef CORNELWEIR_SRC_OUTCOME_REQUEST_OUTCOME_H_
#define CORNELWEIR_SRC_OUTCOME_REQUEST_OUTCOME_H_

#include <cstdint>
#include <string_view>

namespace cornelweir::outcome {

// Whether an upstream ran a request. kNotRun is stated only if no byte of the request was passed
// to an upstream.
enum class request_outcome : std::uint8_t { kRan, kNotRun, kUnknown };

// The outcome as responses carry it: "ran", "not-run" or "unknown".
std::string_view OutcomeName(request_outcome outcome);

// Finds the outcome with this name. Returns false and leaves outcome alone if there is none.
bool ParseOutcome(std::string_view name, request_outcome& outcome);

}  // namespace cornelweir::outcome

#endif  // CORNELWEIR_SRC_OUTCOME_REQUEST_OUTCOME_H_
