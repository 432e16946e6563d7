#ifndef CORNELWEIR_SRC_OUTCOME_REQUEST_OUTCOME_H_
#define CORNELWEIR_SRC_OUTCOME_REQUEST_OUTCOME_H_

#include <cstdint>
#include <string_view>

namespace cornelweir::outcome {

// Whether an upstream ran a request. kNotRun guarantees that no byte of the request was sent to an
// upstream.
enum class request_outcome : std::uint8_t { kRan, kNotRun, kUnknown };

// The outcome as it is sent in responses: "ran", "not-run" or "unknown".
std::string_view OutcomeName(request_outcome outcome);

// Parses the name of an outcome. Returns false and leaves outcome unchanged if the name is unknown.
bool ParseOutcome(std::string_view name, request_outcome& outcome);

}  // namespace cornelweir::outcome

#endif  // CORNELWEIR_SRC_OUTCOME_REQUEST_OUTCOME_H_
