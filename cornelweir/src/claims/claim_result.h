#ifndef CORNELWEIR_SRC_CLAIMS_CLAIM_RESULT_H_
#define CORNELWEIR_SRC_CLAIMS_CLAIM_RESULT_H_

#include <cstdint>
#include <optional>
#include <tuple>

#include "cornelweir/src/claims/stored_response.h"
#include "cornelweir/src/kernel/field.h"

namespace cornelweir::claims {

// The result of a claim. Only kGranted allows the attempt to run. kMismatch: the key was claimed
// for another request. kFull: the table has no space for the claim, or the key or attempt is too
// long.
enum class claim_status : std::uint8_t { kGranted, kHeld, kCompleted, kMismatch, kFull };

// The result of a claim, with the stored response if the request has completed.
struct claim_result {
  claim_status status = claim_status::kFull;
  std::optional<stored_response> response;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"status", &claim_result::status},
                      kernel::field{"response", &claim_result::response}};
  }
  friend bool operator==(const claim_result&, const claim_result&) = default;
};

}  // namespace cornelweir::claims

#endif  // CORNELWEIR_SRC_CLAIMS_CLAIM_RESULT_H_
