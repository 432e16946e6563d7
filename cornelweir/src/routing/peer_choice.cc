#include "cornelweir/src/routing/peer_choice.h"

#include <algorithm>

#include "cornelweir/src/routing/limits.h"

namespace cornelweir::routing {

namespace internal {

kernel::microseconds MeanResponseTime(const std::vector<peer_candidate>& candidates) {
  kernel::microseconds sum{};
  std::int64_t known_times = 0;
  for (const peer_candidate& candidate : candidates) {
    if (candidate.response_time.count() == 0) continue;
    sum += candidate.response_time;
    ++known_times;
  }
  return known_times == 0 ? kDefaultResponseTime : sum / known_times;
}

}  // namespace internal

double ExpectedCost(const peer_candidate& candidate, kernel::microseconds mean_response_time) {
  const auto slots = static_cast<double>(std::max<std::int64_t>(candidate.slots, 1));
  const auto requests =
      static_cast<double>(candidate.reported_requests + candidate.sent_since_report);
  const kernel::microseconds response_time =
      candidate.response_time.count() > 0 ? candidate.response_time : mean_response_time;
  const double utilization = (requests + 1) / slots;
  // Up to its slots an upstream runs requests in parallel, and slows down with the number of slots
  // in use. Requests beyond that are queued.
  double cost = static_cast<double>(response_time.count()) *
                (utilization <= 1 ? 1 + kPeerUtilizationCost * utilization
                                  : 1 + kPeerUtilizationCost + (utilization - 1));
  cost *= 1 + kPeerFailureCost * candidate.failure_rate;
  return cost * candidate.network_cost + static_cast<double>(candidate.transfer_time.count());
}

}  // namespace cornelweir::routing
