#ifndef CORNELWEIR_SRC_ROLLOUT_UPSTREAM_GUARD_H_
#define CORNELWEIR_SRC_ROLLOUT_UPSTREAM_GUARD_H_

#include <optional>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/rollout/evidence_counters.h"
#include "cornelweir/src/rollout/rollout_table.h"

namespace cornelweir::rollout {

// What the daemon beside an upstream enforces of the rollout of its service: which versions take
// requests, and for how long since a control host last confirmed the record. Also counts the
// evidence.
class upstream_guard {
 public:
  // The table must outlive this object.
  explicit upstream_guard(const rollout_table& table) : table_(table) {}

  // To be called when the record of the service, or the upstream's process, service or version may
  // have changed. since_order is the time since the order by the wall clock.
  void Update(const kernel::service_name& service, const kernel::upstream_id& upstream,
              const kernel::software_version& version, kernel::microseconds since_order,
              kernel::time_point now);
  // A control host has confirmed that the records are the newest.
  void OnConfirmed(kernel::time_point now) { confirmed_at_ = now; }

  // Whether an upstream of the service may get requests. Without a record, every upstream may.
  bool Admits(const kernel::service_name& service, const kernel::software_version& version,
              kernel::time_point now) const {
    const rollout_record* const record = table_.Find(service);
    return record == nullptr ||
           (rollout::Admits(*record, version) && !IsOverdue(*record, version, now));
  }

  // Counts the run of a request while a rollout of the service runs.
  void Record(const kernel::service_name& service, const kernel::route_name& route, run_end end,
              kernel::microseconds run_time, bool warming_up, kernel::time_point now) {
    const rollout_record* const record = table_.Find(service);
    if (record != nullptr && IsRunning(*record)) {
      counters_.Record(route, end, run_time, warming_up, now);
    }
  }

  const evidence_counters& counters() const { return counters_; }

 private:
  bool IsOverdue(const rollout_record& record, const kernel::software_version& version,
                 kernel::time_point now) const;

  const rollout_table& table_;
  evidence_counters counters_;
  kernel::upstream_id upstream_;
  kernel::software_version version_;
  kernel::rollout_revision started_;
  kernel::rollout_revision revision_;
  kernel::time_point ordered_at_;
  kernel::time_point step_learned_at_;
  kernel::time_point confirmed_at_;
};

}  // namespace cornelweir::rollout

#endif  // CORNELWEIR_SRC_ROLLOUT_UPSTREAM_GUARD_H_
