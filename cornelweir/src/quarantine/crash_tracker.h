#ifndef CORNELWEIR_SRC_QUARANTINE_CRASH_TRACKER_H_
#define CORNELWEIR_SRC_QUARANTINE_CRASH_TRACKER_H_

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/quarantine/crash_report.h"
#include "cornelweir/src/quarantine/crash_tracker_state.h"
#include "cornelweir/src/quarantine/quarantined_fingerprint.h"
#include "cornelweir/src/quarantine/upstream_crash.h"

namespace cornelweir::quarantine {

// Counts crashes against the requests that were in progress and quarantines those that keep
// crashing upstreams. A part of the replicated state machine: the same calls with the same
// arguments lead to the same state on every host. Times come from the log; one that is earlier
// than its predecessor counts as equal to it.
//
// A request is quarantined once it was in progress at crashes of two different incarnations and it
// is unlikely that it was there by chance: it is the only one of the second crash that was in
// progress at an earlier one too, or few others were in progress, or there were four crashes.
class crash_tracker {
 public:
  // Counts a crash against all requests that were in progress. A repeated report counts once.
  // Returns the requests that it put into quarantine.
  std::vector<kernel::fingerprint> ReportCrash(const crash_report& report, kernel::time_point now);

  // Counts a crash against one request. in_progress is the number of requests, this one included,
  // that the crash may be due to. Returns whether the request is quarantined now.
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

  // The whole state; Snapshot() is a copy of it.
  const crash_tracker_state& state() const { return state_; }
  crash_tracker_state Snapshot() const { return state_; }
  void Restore(crash_tracker_state state);

 private:
  // Requests in the order in which they are given up when there are too many, or when their time
  // has passed.
  template <class Rank>
  using ranking = std::set<std::pair<Rank, kernel::fingerprint>>;
  using weakness = std::pair<std::int64_t, kernel::log_time>;

  bool WasInEarlierCrash(kernel::fingerprint request, const upstream_crash& crash) const;
  // Returns whether the request was put into quarantine, also if it was there before.
  bool Count(kernel::fingerprint request, const upstream_crash& crash, std::int64_t in_progress,
             bool only_repeated);
  void Quarantine(kernel::fingerprint request);
  void EndQuarantine(kernel::fingerprint request);
  void Forget(kernel::fingerprint request);
  void Index(kernel::fingerprint request, const suspect& entry);

  crash_tracker_state state_;
  // Derived from the state.
  ranking<kernel::log_time> by_age_;
  ranking<weakness> by_evidence_;
  ranking<kernel::log_time> by_end_;
};

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_CRASH_TRACKER_H_
