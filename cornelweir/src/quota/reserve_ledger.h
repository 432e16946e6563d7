#ifndef CORNELWEIR_SRC_QUOTA_RESERVE_LEDGER_H_
#define CORNELWEIR_SRC_QUOTA_RESERVE_LEDGER_H_

#include <cstdint>
#include <map>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::quota {

// What a control host states about its reserve of tokens of a workspace. The ids of the statements
// of one process ascend.
struct reserve_statement {
  kernel::host_id holder;
  kernel::nonce id;
  kernel::request_count held;
  // Tokens a second that the host passes on to its daemons.
  kernel::request_rate demand;
};

// The owner's account of the reserves of one workspace. It never counts fewer tokens than the
// control hosts hold: what a host may hold after a statement counts until a later statement or its
// expiry, and hosts ignore answers to all but their latest statement.
class reserve_ledger {
 public:
  // What the owner can add to the reserves now.
  struct supply {
    // Bound of all reserves of the workspace together.
    std::int64_t max_total = 0;
    std::int64_t spare_tokens = 0;
    // Whether an earlier owner's tokens may still be valid. They are kept, but none are added.
    bool has_unknown = true;
  };
  struct permission {
    // Whether the statement is the newest of its holder. If not, there is no answer to it.
    bool is_valid = false;
    // The reserve that the holder may have, and how many of its tokens are new.
    std::int64_t total = 0;
    std::int64_t added = 0;
  };

  permission Update(const reserve_statement& statement, const supply& available,
                    kernel::time_point now);
  void DropExpired(kernel::time_point now);
  bool empty() const { return holdings_.empty(); }

 private:
  struct holding {
    kernel::nonce statement;
    std::int64_t count = 0;
    double demand = 0;
    kernel::time_point expires_at;
  };

  std::map<kernel::host_id, holding> holdings_;
};

}  // namespace cornelweir::quota

#endif  // CORNELWEIR_SRC_QUOTA_RESERVE_LEDGER_H_
