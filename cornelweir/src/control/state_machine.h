#ifndef CORNELWEIR_SRC_CONTROL_STATE_MACHINE_H_
#define CORNELWEIR_SRC_CONTROL_STATE_MACHINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "cornelweir/claims.h"
#include "cornelweir/kernel.h"
#include "cornelweir/membership.h"
#include "cornelweir/quarantine.h"
#include "cornelweir/src/control/change_outcomes.h"
#include "cornelweir/src/control/commands.h"
#include "cornelweir/src/control/draft.h"
#include "cornelweir/src/control/outcomes.h"
#include "cornelweir/src/control/policy_store.h"
#include "cornelweir/src/control/rollout_store.h"
#include "cornelweir/src/control/version_history.h"

namespace cornelweir::control {

// What one applied command changed and the control host has to publish.
struct applied_effects {
  bool table_changed = false;
  bool members_changed = false;
  bool quarantine_changed = false;
  bool policy_changed = false;
  bool rollouts_changed = false;
  // The upstream that joined or changed, and the upstream that left, if any.
  std::optional<membership::upstream_record> announced = std::nullopt;
  std::optional<kernel::upstream_id> left = std::nullopt;
};

// The whole state of a state machine, as stored in a snapshot.
struct state_snapshot {
  std::int64_t now_ms = 0;
  draft current_draft;
  version_history history;
  change_outcomes outcomes;
  membership::member_snapshot members;
  claims::claim_table_state claims;
  quarantine::crash_tracker_state crashes;
  policy_store_state policy;
  rollout_records rollouts;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"now_ms", &state_snapshot::now_ms},
                      kernel::field{"draft", &state_snapshot::current_draft},
                      kernel::field{"history", &state_snapshot::history},
                      kernel::field{"outcomes", &state_snapshot::outcomes},
                      kernel::field{"members", &state_snapshot::members},
                      kernel::field{"claims", &state_snapshot::claims},
                      kernel::field{"crashes", &state_snapshot::crashes},
                      kernel::field{"policy", &state_snapshot::policy},
                      kernel::field{"rollouts", &state_snapshot::rollouts}};
  }
};

// The state that control hosts replicate. It changes only by Apply(), and its time comes only from
// the log, so that every host has the same state at the same index.
class state_machine {
 public:
  // Applies the record at an index of the log and sets in effects what it changed.
  outcome Apply(kernel::log_index index, const log_record& record, applied_effects& effects);

  const draft& current_draft() const { return draft_; }
  const version_history& history() const { return history_; }
  const membership::member_table& members() const { return members_; }
  const quarantine::crash_tracker& crashes() const { return crashes_; }
  const claims::claim_table& claims() const { return claims_; }
  const policy_store& policy() const { return policy_; }
  const rollout_store& rollouts() const { return rollouts_; }
  kernel::time_point now() const;

  state_snapshot Snapshot() const;
  void Restore(const state_snapshot& snapshot);

 private:
  struct apply_context;

  outcome Run(const edit_command& command, apply_context& context);
  outcome Run(const accept_command& command, apply_context& context);
  outcome Run(const restore_command& command, apply_context& context);
  outcome Run(const announce_command& command, apply_context& context);
  outcome Run(const leave_command& command, apply_context& context);
  outcome Run(const claim_command& command, apply_context& context);
  outcome Run(const complete_command& command, apply_context& context);
  outcome Run(const release_command& command, apply_context& context);
  outcome Run(const crash_command& command, apply_context& context);
  outcome Run(const quarantine_command& command, apply_context& context);
  outcome Run(const release_quarantine_command& command, apply_context& context);
  outcome Run(const replace_policy_command& command, apply_context& context);
  outcome Run(const start_rollout_command& command, apply_context& context);
  outcome Run(const advance_rollout_command& command, apply_context& context);

  // Runs an operator's change once; a resend gets the outcome of the first run.
  template <class Command>
  outcome RunOnce(const Command& command, apply_context& context);
  // Removes claims, crashes and quarantines whose retention has ended.
  void Expire(applied_effects& effects);
  // Validates rows and makes them the next version.
  outcome AcceptRows(const table::row_map& rows, const std::string& author, const std::string& note,
                     apply_context& context);

  std::int64_t now_ms_ = 0;
  draft draft_;
  version_history history_;
  change_outcomes outcomes_;
  membership::member_table members_;
  claims::claim_table claims_;
  quarantine::crash_tracker crashes_;
  policy_store policy_;
  rollout_store rollouts_;
};

}  // namespace cornelweir::control

#endif  // CORNELWEIR_SRC_CONTROL_STATE_MACHINE_H_
