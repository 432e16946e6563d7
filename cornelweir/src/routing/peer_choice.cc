#include "cornelweir/src/routing/peer_choice.h"

#include <algorithm>

#include "cornelweir/src/routing/limits.h"

namespace cornelweir::routing {

namespace internal {

kernel::microseconds UsualResponseTime(const std::vector<peer_candidate>& candidates) {
  kernel::microseconds sum{};
  std::int64_t known = 0;
  for (const peer_candidate& candidate : candidates) {
    if (candidate.response_time.count() == 0) continue;
    sum += candidate.response_time;
    ++known;
  }
  return known == 0 ? kAssumedResponseTime : sum / known;
}

}  // namespace internal

double CostOf(const peer_candidate& candidate, kernel::microseconds usual_response_time) {
  const auto slots = static_cast<double>(std::max<std::int64_t>(candidate.slots, 1));
  const auto load = static_cast<double>(candidate.reported_requests + candidate.sent_since_report);
  const kernel::microseconds time =
      candidate.response_time.count() > 0 ? candidate.response_time : usual_response_time;
  const double fill = (load + 1) / slots;
  // Up to its slots an upstream runs requests side by side, a little slower the fuller it is;
  // beyond that they wait for one another.
  double cost = static_cast<double>(time.count()) *
                (fill <= 1 ? 1 + kFillCost * fill : 1 + kFillCost + (fill - 1));
  cost *= 1 + kFailureCost * candidate.failure_rate;
  return cost * candidate.network_cost;
}

}  // namespace cornelweir::routing
