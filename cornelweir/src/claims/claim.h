#ifndef CORNELWEIR_SRC_CLAIMS_CLAIM_H_
#define CORNELWEIR_SRC_CLAIMS_CLAIM_H_

#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

#include "cornelweir/src/claims/stored_response.h"
#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/log_time.h"

namespace cornelweir::claims {

// kHeld: an attempt may be running. kCompleted: its response is stored. kReleased: the key is free
// for attempts that have not released it.
enum class claim_state : std::uint8_t { kHeld, kCompleted, kReleased };

// The claim of one idempotency key.
struct claim {
  claim_state state = claim_state::kHeld;
  // The attempt that holds or completed the claim; empty in a released claim.
  kernel::attempt_id holder;
  // Identifies the request that the key was claimed for.
  kernel::fingerprint fingerprint;
  kernel::log_time expires_at;
  std::optional<stored_response> response;
  // Attempts that released the key, in the order of their releases.
  std::vector<kernel::attempt_id> released;

  static constexpr auto Fields() {
    return std::tuple{
        kernel::field{"state", &claim::state},         kernel::field{"holder", &claim::holder},
        kernel::field{"content", &claim::fingerprint}, kernel::field{"expires", &claim::expires_at},
        kernel::field{"response", &claim::response},   kernel::field{"released", &claim::released}};
  }
  friend bool operator==(const claim&, const claim&) = default;
};

}  // namespace cornelweir::claims

#endif  // CORNELWEIR_SRC_CLAIMS_CLAIM_H_
