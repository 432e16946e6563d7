#ifndef CORNELWEIR_SRC_QUARANTINE_CRASH_LEDGER_H_
#define CORNELWEIR_SRC_QUARANTINE_CRASH_LEDGER_H_

#include <utility>
#include <vector>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/quarantine/crash_ledger_state.h"
#include "cornelweir/src/quarantine/quarantined_fingerprint.h"

namespace cornelweir::quarantine {

// Counts crashes against the requests that were in progress and quarantines those that keep
// crashing upstreams. A part of the replicated state machine: the same calls with the same
// arguments lead to the same state on every host. Times come from the log; one that is earlier
// than its predecessor counts as equal to it.
class crash_ledger {
 public:
  // Counts a crash against a request. in_progress is the number of requests, this one included,
  // that the crash may be due to: the fewer, the stronger the evidence. Reports that repeat a
  // crash count once. Returns whether the request is quarantined now.
  bool Report(kernel::fingerprint request, const kernel::upstream_id& upstream,
              kernel::incarnation process, kernel::time_point now,
              kernel::request_count in_progress = kernel::request_count(1));

  // Ends a quarantine and forgets the crashes, because an operator says that the request is
  // harmless. Returns whether it was quarantined.
  bool Release(kernel::fingerprint request);

  // Ends quarantines and forgets crashes whose time has passed. A request whose quarantine ended
  // by time remains suspect: one more crash quarantines it again.
  void Expire(kernel::time_point now);

  // The quarantined requests, ordered by fingerprint.
  std::vector<quarantined_fingerprint> Quarantined() const;

  crash_ledger_state Snapshot() const { return state_; }
  void Restore(crash_ledger_state state) { state_ = std::move(state); }

 private:
  void Quarantine(kernel::fingerprint request);

  crash_ledger_state state_;
};

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_CRASH_LEDGER_H_
