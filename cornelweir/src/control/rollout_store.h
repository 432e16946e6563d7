#ifndef CORNELWEIR_SRC_CONTROL_ROLLOUT_STORE_H_
#define CORNELWEIR_SRC_CONTROL_ROLLOUT_STORE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/rollout.h"
#include "cornelweir/src/control/commands.h"
#include "cornelweir/src/control/outcomes.h"

namespace cornelweir::control {

using rollout_records = std::map<kernel::service_name, rollout::rollout_record>;

// The latest rollout of each service.
class rollout_store {
 public:
  // Starts a rollout. The same order again is accepted without effect while its rollout runs, after
  // it was completed, and for rollout::kOrderResendWindow after it started. Refuses another order
  // while a rollout of the service runs.
  rollout_outcome Start(const start_rollout_command& command, std::int64_t now_ms,
                        kernel::rollout_revision revision);
  // Sets the share and state of the running rollout to which the command belongs. The share may
  // only grow until the rollout ends.
  rollout_outcome Advance(const advance_rollout_command& command,
                          kernel::rollout_revision revision);

  const rollout_records& records() const { return records_; }
  // Null if there was no rollout of the service.
  const rollout::rollout_record* Find(const kernel::service_name& service) const;
  // Whether Start() would accept the order without effect.
  bool WasAccepted(const kernel::service_name& service, kernel::order_digest order,
                   std::int64_t now_ms) const;
  // The revision of the latest change; 0 if there is none.
  kernel::rollout_revision revision() const { return revision_; }
  // The records that changed after the revision.
  std::vector<rollout::rollout_record> ChangedSince(kernel::rollout_revision revision) const;

  void Restore(const rollout_records& records);

 private:
  rollout_records records_;
  kernel::rollout_revision revision_;
};

}  // namespace cornelweir::control

#endif  // CORNELWEIR_SRC_CONTROL_ROLLOUT_STORE_H_
