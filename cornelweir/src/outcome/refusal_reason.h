#ifndef CORNELWEIR_SRC_OUTCOME_REFUSAL_REASON_H_
#define CORNELWEIR_SRC_OUTCOME_REFUSAL_REASON_H_

#include <cstdint>
#include <string_view>

namespace cornelweir::outcome {

// Why a daemon refused a request without running it.
enum class refusal_reason : std::uint8_t {
  kNoRoute,
  kNoUpstream,
  kQueueFull,
  kQueueTimeout,
  kDeadlinePassed,
  kWorkspaceLimit,
  kServiceLimit,
  kQuarantined,
  kClaimUnavailable,
  kKeyMissing,
  kKeyMismatch,
  kNotReady,
  kShuttingDown,
};

// The reason as a human-readable text, for example "the queue is full".
std::string_view RefusalText(refusal_reason reason);

// Whether another upstream of the service may accept the request.
bool MaySucceedOnAnotherUpstream(refusal_reason reason);

}  // namespace cornelweir::outcome

#endif  // CORNELWEIR_SRC_OUTCOME_REFUSAL_REASON_H_
