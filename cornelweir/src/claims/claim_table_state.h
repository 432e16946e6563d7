#ifndef CORNELWEIR_SRC_CLAIMS_CLAIM_TABLE_STATE_H_
#define CORNELWEIR_SRC_CLAIMS_CLAIM_TABLE_STATE_H_

#include <map>
#include <tuple>

#include "cornelweir/src/claims/claim.h"
#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/log_time.h"

namespace cornelweir::claims {

// The complete state of a claim table, for snapshots of the state machine.
struct claim_table_state {
  // The latest time passed to the table.
  kernel::log_time latest_time;
  std::map<kernel::idempotency_key, claim> claims;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"latest", &claim_table_state::latest_time},
                      kernel::field{"claims", &claim_table_state::claims}};
  }
  friend bool operator==(const claim_table_state&, const claim_table_state&) = default;
};

}  // namespace cornelweir::claims

#endif  // CORNELWEIR_SRC_CLAIMS_CLAIM_TABLE_STATE_H_
