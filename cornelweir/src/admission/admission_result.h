#ifndef CORNELWEIR_SRC_ADMISSION_ADMISSION_RESULT_H_
#define CORNELWEIR_SRC_ADMISSION_ADMISSION_RESULT_H_

#include <cstdint>
#include <optional>

#include "cornelweir/src/admission/refused_ticket.h"
#include "cornelweir/src/outcome/refusal_reason.h"

namespace cornelweir::admission {

enum class admission_state : std::uint8_t { kAdmitted, kQueued, kRefused };

// The decision on a submitted request.
struct admission_result {
  admission_state state = admission_state::kRefused;
  // Set if the request was refused.
  std::optional<outcome::refusal_reason> reason;
  // A queued request that was refused in favor of this one, because its workspace had more requests
  // in the queue.
  std::optional<refused_ticket> displaced;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_ADMISSION_RESULT_H_
