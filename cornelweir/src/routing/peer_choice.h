#ifndef CORNELWEIR_SRC_ROUTING_PEER_CHOICE_H_
#define CORNELWEIR_SRC_ROUTING_PEER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/kernel/random_source.h"

namespace cornelweir::routing {

// What a daemon knows about one upstream: the reports of the upstream's daemon and its own
// observations.
struct peer_candidate {
  std::int64_t slots = 1;
  // Requests running and queued, as last reported.
  std::int64_t reported_requests = 0;
  // Requests that this daemon has sent to the upstream since that report.
  std::int64_t sent_since_report = 0;
  // Mean response time; zero if unknown.
  kernel::microseconds response_time{};
  // Fraction of the recent requests that failed, 0 to 1.
  double failure_rate = 0;
  // Factor on the cost for the network path to the upstream.
  double network_cost = 1;
  // Expected time until the body of the request has arrived; zero unless it is large.
  kernel::microseconds transfer_time{};
};

// The expected cost of a request at a candidate, in microseconds. The mean response time of all
// candidates stands in for that of a candidate whose own is unknown.
double ExpectedCost(const peer_candidate& candidate, kernel::microseconds mean_response_time);

// Returns the index of the candidate with the lowest expected cost, a random one of those with
// equal costs. Failures and the network path add to the cost, so that the own failure domain is
// preferred as long as it has free slots. Empty if there are no candidates.
template <kernel::random_source Random>
std::optional<std::size_t> ChoosePeer(const std::vector<peer_candidate>& candidates,
                                      Random& random);

namespace internal {

// The mean of the known response times; kDefaultResponseTime if none is known.
kernel::microseconds MeanResponseTime(const std::vector<peer_candidate>& candidates);

}  // namespace internal

template <kernel::random_source Random>
std::optional<std::size_t> ChoosePeer(const std::vector<peer_candidate>& candidates,
                                      Random& random) {
  const kernel::microseconds mean_response_time = internal::MeanResponseTime(candidates);
  std::optional<std::size_t> best;
  double best_cost = 0;
  std::uint64_t equal_candidates = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double cost = ExpectedCost(candidates[i], mean_response_time);
    if (best && cost > best_cost) continue;
    equal_candidates = best && cost == best_cost ? equal_candidates + 1 : 1;
    // Reservoir sampling: each of the candidates with equal costs is chosen with equal probability.
    if (equal_candidates > 1 && kernel::UniformBelow(random, equal_candidates) != 0) continue;
    best = i;
    best_cost = cost;
  }
  return best;
}

}  // namespace cornelweir::routing

#endif  // CORNELWEIR_SRC_ROUTING_PEER_CHOICE_H_
