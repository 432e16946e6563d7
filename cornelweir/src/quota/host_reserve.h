#ifndef CORNELWEIR_SRC_QUOTA_HOST_RESERVE_H_
#define CORNELWEIR_SRC_QUOTA_HOST_RESERVE_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/quota/messages.h"

namespace cornelweir::quota {

// The tokens that a control host holds for its daemons while no owner answers. Its size follows
// from the tokens that the host passes on to them. It is renewed by statements to the owner, and
// expires without.
class host_reserve {
 public:
  // Counts tokens of the owner that were passed on to daemons, for the demand.
  void OnPassedOn(const token_grant& grant, kernel::time_point now);

  // Adds what the owner has to know to an entry of a request that is sent now, if a statement is
  // due.
  void AddStatement(token_request& entry, kernel::nonce request, kernel::time_point now);
  // The workspaces for which a statement is due although no daemon asks for tokens.
  std::vector<kernel::workspace_id> Overdue(kernel::time_point now);
  // Applies the answer to a statement, if it was the latest about its workspace.
  void OnGrant(const token_grant& grant, kernel::nonce request, kernel::time_point now);

  // How many tokens can be taken now.
  std::int64_t Available(const kernel::workspace_id& workspace, kernel::time_point now) const;
  // Passes tokens on to a daemon, at most those available.
  token_grant Take(const kernel::workspace_id& workspace, std::int64_t wanted,
                   kernel::time_point now);
  bool empty() const { return accounts_.empty(); }

 private:
  struct account {
    // Moving average of the tokens that were passed on, as their weighted number.
    double demand = 0;
    kernel::time_point demand_at;
    // How long daemons may use a token.
    kernel::microseconds token_lifetime{};
    std::int64_t tokens = 0;
    kernel::time_point expires_at;
    kernel::nonce statement;
    kernel::time_point stated_at;
    // Tokens taken since the latest statement.
    std::int64_t taken = 0;
  };

  static void CountDemand(account& holder, std::int64_t tokens, kernel::time_point now);

  std::unordered_map<kernel::workspace_id, account> accounts_;
  kernel::time_point checked_at_;
};

}  // namespace cornelweir::quota

#endif  // CORNELWEIR_SRC_QUOTA_HOST_RESERVE_H_
