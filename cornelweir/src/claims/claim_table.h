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

// The claims of all idempotency keys. A part of the replicated state machine: the same calls with
// the same arguments lead to the same state on every host. Times come from the log; one that is
// earlier than its predecessor counts as equal to it.
class claim_table {
 public:
  explicit claim_table(std::size_t max_claims = kMaxClaims,
                       kernel::byte_count max_stored_bytes = kMaxStoredBytes)
      : max_claims_(max_claims), max_stored_bytes_(max_stored_bytes) {}

  // Claims a key for an attempt. Keys are compared as they are: a key that callers choose must be
  // scoped to the tenant and the route before. A repeated claim by the holder is granted again; one
  // by an attempt that has released the key is not.
  claim_result Claim(const kernel::idempotency_key& key, const kernel::attempt_id& attempt,
                     kernel::fingerprint content, kernel::time_point now);

  // Stores the response of the attempt that holds the key. Returns false, and changes nothing, if
  // the attempt does not hold it. A repeated call keeps the first response.
  bool Complete(const kernel::idempotency_key& key, const kernel::attempt_id& attempt,
                stored_response response);

  // Frees the key after an attempt that did not run. The attempt can't claim the key again, not
  // even if its claim arrives after its release. Returns false if the attempt did not hold it.
  bool Release(const kernel::idempotency_key& key, const kernel::attempt_id& attempt);

  // Forgets claims whose retention has passed, at most kMaxForgottenPerCall. The others have no
  // effect any more, and later calls forget them.
  void Expire(kernel::time_point now);

  std::size_t size() const { return state_.claims.size(); }
  kernel::byte_count stored_bytes() const { return stored_bytes_; }

  // The whole state; Snapshot() is a copy of it.
  const claim_table_state& state() const { return state_; }
  claim_table_state Snapshot() const { return state_; }
  void Restore(claim_table_state state);

 private:
  using claim_map = std::map<kernel::idempotency_key, claim>;
  // Claims by the time at which they expire. Keys are not copied.
  struct earlier {
    bool operator()(claim_map::const_iterator a, claim_map::const_iterator b) const {
      return std::tie(a->second.expires, a->first) < std::tie(b->second.expires, b->first);
    }
  };
  using expiry_index = std::set<claim_map::iterator, earlier>;

  // The claim of a key, or the end if there is none that still counts.
  claim_map::iterator Find(const kernel::idempotency_key& key);
  // Adds a claim of the key, or returns the end if there is no room.
  claim_map::iterator Add(const kernel::idempotency_key& key);
  expiry_index& IndexOf(const claim& entry);
  void SetState(claim_map::iterator entry, claim_state state, const kernel::attempt_id& holder,
                kernel::log_time expires);
  void Erase(claim_map::iterator entry);
  kernel::log_time After(kernel::microseconds retention) const;

  std::size_t max_claims_;
  kernel::byte_count max_stored_bytes_;
  claim_table_state state_;
  // Derived from the state: claims that are held or completed, and released ones.
  expiry_index by_expiry_;
  expiry_index released_by_expiry_;
  kernel::byte_count stored_bytes_;
};

}  // namespace cornelweir::claims

#endif  // CORNELWEIR_SRC_CLAIMS_CLAIM_TABLE_H_
