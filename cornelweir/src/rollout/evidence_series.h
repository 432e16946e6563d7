#ifndef CORNELWEIR_SRC_ROLLOUT_EVIDENCE_SERIES_H_
#define CORNELWEIR_SRC_ROLLOUT_EVIDENCE_SERIES_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/rollout/judge.h"
#include "cornelweir/src/rollout/rollout_record.h"
#include "cornelweir/src/rollout/rollout_sample.h"

namespace cornelweir::rollout {

// The evidence on one route for both groups of versions.
struct route_comparison {
  route_evidence target;
  route_evidence released;
};

// A finding and the evidence for it.
struct bad_route {
  // Empty if the finding is about all routes together.
  kernel::route_name route;
  finding found = finding::kNone;
  route_comparison evidence;
};

// The evidence that the leader has collected on a rollout. Within a step each request goes to the
// target with the same probability, so both groups are exposed to the same changes of the load and
// the network. Failures, which come in bursts, are therefore compared within each step.
class evidence_series {
 public:
  // Starts a step of the rollout.
  void StartStep(const rollout_record& record);

  // Adds what a daemon counted since its previous sample. Ignores samples of another step.
  void Receive(const rollout_sample& sample);

  // To be called periodically. Returns a route on which the target version is bad, if any.
  std::optional<bad_route> Judge(kernel::time_point now);

  // Whether the first step has enough responses of the target on each route with traffic.
  bool Suffices(kernel::microseconds elapsed) const;

  // Since the start of the rollout.
  const std::map<kernel::route_name, route_comparison>& totals() const { return totals_; }

 private:
  using comparisons = std::map<kernel::route_name, route_comparison>;

  struct counted {
    kernel::microseconds since{};
    kernel::software_version version;
    std::map<kernel::route_name, route_evidence> routes;
  };
  // Numbers of run times by upstream of the target.
  using run_time_counts = std::map<kernel::route_name, std::map<kernel::endpoint, std::int64_t>>;

  // How much the released upstreams differ in speed on a route, and at how many it was measured.
  struct measured_deviation {
    std::size_t upstreams = 0;
    double deviation = 0;
  };

  struct evaluation {
    kernel::time_point evaluated_at;
    comparisons totals;
    // What the upstreams of the target have added since the evaluation before.
    run_time_counts added;
  };

  // What was added to the totals since then.
  comparisons Since(const comparisons& earlier) const;
  // The totals of the latest evaluation that is at least `age` old; null if there is none.
  const comparisons* TotalsBefore(kernel::microseconds age, kernel::time_point now) const;
  // Measures how much the released upstreams differ in speed.
  void MeasureSpeeds();
  // The run times of the target of each evaluation after the time.
  run_time_counts AddedAfter(kernel::time_point time) const;
  // The run times of the target that were counted in this step.
  run_time_counts AddedInStep() const;
  speed_spread SpreadOf(const kernel::route_name& route, const run_time_counts& targets) const;
  std::optional<bad_route> JudgeFailuresSince(const comparisons& earlier) const;
  std::optional<bad_route> JudgeAllFailures() const;
  // targets are the run times of the target since then.
  std::optional<bad_route> JudgeRunTimesSince(const comparisons& earlier,
                                              const run_time_counts& targets) const;
  bool ReleasedServe() const { return record_.share < kernel::kAllTraffic; }

  rollout_record record_;
  // What the daemons have counted since they started their counters, which is in this step for all
  // but those beside a released upstream at the last step, see upstream_guard.
  std::map<kernel::endpoint, counted> daemons_;
  // The largest number of released upstreams that have ended requests in a step.
  std::size_t released_upstreams_ = 0;
  comparisons totals_;
  // The totals when the step started.
  comparisons step_start_;
  std::map<kernel::route_name, measured_deviation> speed_deviations_;
  // Of the earlier steps, all routes together.
  failure_score earlier_steps_;
  std::deque<evaluation> evaluations_;
  // Since the latest evaluation.
  run_time_counts added_;
};

}  // namespace cornelweir::rollout

#endif  // CORNELWEIR_SRC_ROLLOUT_EVIDENCE_SERIES_H_
