#ifndef CORNELWEIR_SRC_ROLLOUT_ROLLOUT_TRACKER_H_
#define CORNELWEIR_SRC_ROLLOUT_ROLLOUT_TRACKER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/rollout/evidence_series.h"
#include "cornelweir/src/rollout/planner.h"
#include "cornelweir/src/rollout/rollout_record.h"
#include "cornelweir/src/rollout/rollout_sample.h"

namespace cornelweir::rollout {

// What an evaluation concludes.
struct rollout_verdict {
  // The evidence that the target is bad, if it is.
  std::optional<bad_route> bad;
  // The step that is due, if any.
  std::optional<rollout_step> step;
};

// A running rollout as a control host knows it. On the leader, collects the reports of the daemons
// and decides the steps. The counters of daemons are cumulative within a step, so a new leader has
// the evidence of the step after one report of each.
class rollout_tracker {
 public:
  rollout_tracker(const rollout_record& record, kernel::time_point now);

  const rollout_record& record() const { return record_; }

  // A step of the rollout took effect.
  void OnStep(const rollout_record& record, kernel::time_point now);
  // This host became the leader. It drops the reports that it received as the leader before, whose
  // evidence would be counted twice.
  void BeginLeading(kernel::time_point now);
  // Handles a report of a daemon. To be called on the leader.
  void Receive(const rollout_sample& sample, kernel::time_point now);
  // Judges the evidence. daemons are those of the service. since_order is the time since the order
  // by the wall clock.
  rollout_verdict Evaluate(const std::vector<kernel::endpoint>& daemons,
                           kernel::microseconds since_order, kernel::time_point now);

 private:
  struct daemon_state {
    rollout_sample latest;
    kernel::time_point reported_at;
  };

  rollout_progress Progress(const std::vector<kernel::endpoint>& daemons,
                            kernel::microseconds since_order, kernel::time_point now) const;
  bool IsFinished(const rollout_sample& sample) const;
  std::size_t CountUnfinished(const std::vector<kernel::endpoint>& daemons,
                              kernel::time_point now) const;

  rollout_record record_;
  evidence_series evidence_;
  std::map<kernel::endpoint, daemon_state> daemons_;
  // When this host learned of the rollout and of its present share, and since when it collects
  // reports.
  kernel::time_point started_at_;
  kernel::time_point step_started_at_;
  kernel::time_point collecting_since_;
};

}  // namespace cornelweir::rollout

#endif  // CORNELWEIR_SRC_ROLLOUT_ROLLOUT_TRACKER_H_
