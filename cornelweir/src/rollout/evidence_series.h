#ifndef CORNELWEIR_SRC_ROLLOUT_EVIDENCE_SERIES_H_
#define CORNELWEIR_SRC_ROLLOUT_EVIDENCE_SERIES_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>

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
    // Whether it has counted more since the latest evaluation, and the latest one before which it
    // had.
    bool added = false;
    kernel::time_point added_at;
  };

  // What was added to the totals since then.
  comparisons Since(const comparisons& earlier) const;
  // The totals of the latest evaluation that is at least `age` old; null if there is none.
  const comparisons* TotalsBefore(kernel::microseconds age, kernel::time_point now) const;
  // Measures how much the released upstreams differ in speed.
  void MeasureSpeeds(kernel::time_point now);
  // For the upstreams of the target that have ended requests since then.
  speed_spread SpreadOf(const kernel::route_name& route, kernel::time_point since) const;
  std::optional<bad_route> JudgeFailuresSince(const comparisons& earlier) const;
  std::optional<bad_route> JudgeAllFailures() const;
  std::optional<bad_route> JudgeRunTimesSince(const comparisons& earlier,
                                              kernel::time_point since) const;
  bool ReleasedServe() const { return record_.share < kernel::kAllTraffic; }

  rollout_record record_;
  // What the daemons have counted in this step.
  std::map<kernel::endpoint, counted> daemons_;
  // The largest number of released upstreams that have ended requests in a step.
  std::size_t released_upstreams_ = 0;
  comparisons totals_;
  // The totals when the step started.
  comparisons step_start_;
  // The deviation of each route and the number of upstreams at which it was measured.
  std::map<kernel::route_name, std::pair<std::size_t, double>> speed_deviations_;
  // Of the earlier steps, all routes together.
  failure_score earlier_steps_;
  std::deque<std::pair<kernel::time_point, comparisons>> evaluations_;
};

}  // namespace cornelweir::rollout

#endif  // CORNELWEIR_SRC_ROLLOUT_EVIDENCE_SERIES_H_
