#ifndef CORNELWEIR_SRC_QUARANTINE_CRASH_TRACKER_H_
#define CORNELWEIR_SRC_QUARANTINE_CRASH_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/quarantine/crash_report.h"
#include "cornelweir/src/quarantine/crash_tracker_state.h"
#include "cornelweir/src/quarantine/quarantine_rules.h"
#include "cornelweir/src/quarantine/quarantined_fingerprint.h"
#include "cornelweir/src/quarantine/upstream_crash.h"

namespace cornelweir::quarantine {

// Records which requests were in progress at crashes of upstreams, and quarantines requests that
// crash upstreams repeatedly. It is part of the replicated state machine, so it must be
// deterministic: the same calls with the same arguments lead to the same state on every host. Times
// come from the log; a time earlier than the one before counts as equal to it.
//
// A request is quarantined after crashes of at least two different incarnations if coincidence is
// unlikely: if no other request of the latest crash was in progress at an earlier one, if few other
// requests were in progress, or after four crashes; see quarantine_rules.
class crash_tracker {
 public:
  explicit crash_tracker(const quarantine_rules& rules = {}) : rules_(rules) {}

  // Records a crash for all requests that were in progress. A repeated report is not counted
  // again. Returns the requests that were not quarantined before and are now.
  std::vector<kernel::fingerprint> ReportCrash(const crash_report& report, kernel::time_point now);

  // Records a crash for one request. in_progress is the number of requests that may have caused the
  // crash, including this one. Returns whether the request is quarantined now.
  bool Report(kernel::fingerprint request, const kernel::upstream_id& upstream,
              kernel::incarnation process, kernel::time_point now,
              kernel::request_count in_progress = kernel::request_count(1));

  // Deletes the recorded crashes of a request that an upstream has completed. Does not end its
  // quarantine.
  void Clear(kernel::fingerprint request) { DropSuspect(request); }

  // Whether a crash is recorded for the request, and the latest such crashes.
  bool IsSuspect(kernel::fingerprint request) const { return state_.suspects.contains(request); }
  std::vector<upstream_crash> CrashesOf(kernel::fingerprint request) const;

  // Quarantines a request because the daemons of the service have decided it. Returns whether it
  // was not quarantined before; the end of an earlier quarantine does not change.
  bool Impose(kernel::fingerprint request, const kernel::service_name& service,
              kernel::time_point now);

  // Ends a quarantine and deletes the recorded crashes, when an operator declares the request
  // harmless. Returns whether it was quarantined.
  bool Release(kernel::fingerprint request);

  // Ends quarantines and deletes crash records whose time has passed. A request whose quarantine
  // has expired remains a suspect: one more crash quarantines it again.
  void Expire(kernel::time_point now);

  // The quarantined requests in order of their fingerprints.
  std::vector<quarantined_fingerprint> Quarantined() const;

  // The complete state. Snapshot() returns a copy of it.
  const crash_tracker_state& state() const { return state_; }
  crash_tracker_state Snapshot() const { return state_; }
  void Restore(crash_tracker_state state);

 private:
  // Requests in the order in which they are evicted when there are too many, or expire.
  template <class Rank>
  using request_index = std::set<std::pair<Rank, kernel::fingerprint>>;
  using evidence_rank = std::pair<std::int64_t, kernel::log_time>;

  // Whether the request was in progress at a crash other than this one.
  bool WasInEarlierCrash(kernel::fingerprint request, const upstream_crash& crash) const;
  // Records a crash for the request. is_only_repeated: no other request of this crash was in
  // progress at an earlier one. Returns whether the request was quarantined, also if it already had
  // been.
  bool RecordCrash(kernel::fingerprint request, const upstream_crash& crash,
                   std::int64_t in_progress, bool is_only_repeated);
  void Quarantine(kernel::fingerprint request);
  void EndQuarantine(kernel::fingerprint request);
  void DropSuspect(kernel::fingerprint request);
  void AddToIndexes(kernel::fingerprint request, const suspect& entry);

  quarantine_rules rules_;
  crash_tracker_state state_;
  // Indexes derived from the state: suspects by the time of their last crash and by evidence, and
  // quarantined requests by the end of their quarantine.
  request_index<kernel::log_time> by_age_;
  request_index<evidence_rank> by_evidence_;
  request_index<kernel::log_time> by_end_;
};

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_CRASH_TRACKER_H_
