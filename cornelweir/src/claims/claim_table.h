#ifndef CORNELWEIR_SRC_CLAIMS_CLAIM_TABLE_H_
#define CORNELWEIR_SRC_CLAIMS_CLAIM_TABLE_H_

#include <cstddef>
#include <map>
#include <set>
#include <tuple>

#include "cornelweir/src/claims/claim_result.h"
#include "cornelweir/src/claims/claim_table_state.h"
#include "cornelweir/src/claims/limits.h"
#include "cornelweir/src/claims/stored_response.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::claims {

// The claims of all idempotency keys. It is part of the replicated state machine, so it must be
// deterministic: the same calls with the same arguments lead to the same state on every host. Times
// come from the log; a time earlier than the one before counts as equal to it.
class claim_table {
 public:
  explicit claim_table(std::size_t max_claims = kMaxClaims,
                       kernel::byte_count max_stored_bytes = kMaxStoredBytes)
      : max_claims_(max_claims), max_stored_bytes_(max_stored_bytes) {}

  // Claims a key for an attempt. Keys are compared byte by byte, so keys chosen by callers must be
  // scoped to the workspace and the route first. A repeated claim by the holder is granted again; a
  // claim by an attempt that has released the key is not.
  claim_result Claim(const kernel::idempotency_key& key, const kernel::attempt_id& attempt,
                     kernel::fingerprint fingerprint, kernel::time_point now);

  // Stores the response of the attempt that holds the key. Returns false, and changes nothing, if
  // the attempt does not hold the key. A repeated call keeps the first response and returns true.
  // The body is omitted if it exceeds a limit.
  bool Complete(const kernel::idempotency_key& key, const kernel::attempt_id& attempt,
                stored_response response);

  // Frees the key after an attempt that did not run. The attempt cannot claim the key again, even
  // if its claim arrives after its release. Returns false if the attempt did not hold the key.
  bool Release(const kernel::idempotency_key& key, const kernel::attempt_id& attempt);

  // Removes expired claims, at most kMaxExpiredPerCall. The remaining ones no longer have any
  // effect, and later calls remove them.
  void Expire(kernel::time_point now);

  std::size_t size() const { return state_.claims.size(); }
  kernel::byte_count stored_bytes() const { return stored_bytes_; }

  // The complete state. Snapshot() returns a copy of it.
  const claim_table_state& state() const { return state_; }
  claim_table_state Snapshot() const { return state_; }
  void Restore(claim_table_state state);

 private:
  using claim_map = std::map<kernel::idempotency_key, claim>;
  // Orders claims by expiry. The index refers to the claims instead of copying their keys.
  struct expires_earlier {
    bool operator()(claim_map::const_iterator left, claim_map::const_iterator right) const {
      return std::tie(left->second.expires_at, left->first) <
             std::tie(right->second.expires_at, right->first);
    }
  };
  using expiry_index = std::set<claim_map::iterator, expires_earlier>;

  // The claim of a key, or the end iterator if there is none or it has expired.
  claim_map::iterator Find(const kernel::idempotency_key& key);
  // Adds a released claim of the key. Returns the end iterator if the table is full.
  claim_map::iterator Add(const kernel::idempotency_key& key);
  expiry_index& IndexOf(const claim& entry);
  void SetState(claim_map::iterator entry, claim_state state, const kernel::attempt_id& holder,
                kernel::log_time expires_at);
  void Erase(claim_map::iterator entry);
  kernel::log_time ExpiryAfter(kernel::microseconds retention) const;

  std::size_t max_claims_;
  kernel::byte_count max_stored_bytes_;
  claim_table_state state_;
  // Indexes derived from the state: held and completed claims, and released claims.
  expiry_index by_expiry_;
  expiry_index released_by_expiry_;
  kernel::byte_count stored_bytes_;
};

}  // namespace cornelweir::claims

#endif  // CORNELWEIR_SRC_CLAIMS_CLAIM_TABLE_H_
