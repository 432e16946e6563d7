#ifndef CORNELWEIR_SRC_CLAIMS_CLAIM_TABLE_H_
#define CORNELWEIR_SRC_CLAIMS_CLAIM_TABLE_H_

#include <cstddef>
#include <map>
#include <set>
#include <utility>

#include "cornelweir/src/claims/claim_result.h"
#include "cornelweir/src/claims/claim_table_state.h"
#include "cornelweir/src/claims/limits.h"
#include "cornelweir/src/claims/stored_response.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::claims {

// The claims of all idempotency keys. A part of the replicated state machine: the same calls with
// the same arguments lead to the same state on every host. Times come from the log; one that is
// earlier than its predecessor counts as equal to it.
class claim_table {
 public:
  explicit claim_table(std::size_t max_claims = kMaxClaims,
                       kernel::byte_count max_stored_bytes = kMaxStoredBytes)
      : max_claims_(max_claims), max_stored_bytes_(max_stored_bytes) {}

  // Claims a key for an attempt. A repeated claim by the holder is granted again; one by an
  // attempt that has released the key is not.
  claim_result Claim(const kernel::idempotency_key& key, const kernel::attempt_id& attempt,
                     kernel::fingerprint content, kernel::time_point now);

  // Stores the response of the attempt that holds the key. Returns false, and changes nothing, if
  // the attempt does not hold it. A repeated call keeps the first response.
  bool Complete(const kernel::idempotency_key& key, const kernel::attempt_id& attempt,
                stored_response response);

  // Frees the key after an attempt that did not run. The attempt can't claim the key again, not
  // even if its claim arrives after its release. Returns false if the attempt did not hold it.
  bool Release(const kernel::idempotency_key& key, const kernel::attempt_id& attempt);

  // Forgets claims whose retention has passed.
  void Expire(kernel::time_point now);

  std::size_t size() const { return state_.claims.size(); }
  kernel::byte_count stored_bytes() const { return stored_bytes_; }

  claim_table_state Snapshot() const { return state_; }
  void Restore(claim_table_state state);

 private:
  using claim_map = std::map<kernel::idempotency_key, claim>;

  void Advance(kernel::time_point now);
  void SetExpiry(claim_map::iterator entry, kernel::microseconds retention);
  void Erase(claim_map::iterator entry);

  std::size_t max_claims_;
  kernel::byte_count max_stored_bytes_;
  claim_table_state state_;
  std::set<std::pair<kernel::log_time, kernel::idempotency_key>> by_expiry_;
  kernel::byte_count stored_bytes_;
};

}  // namespace cornelweir::claims

#endif  // CORNELWEIR_SRC_CLAIMS_CLAIM_TABLE_H_
