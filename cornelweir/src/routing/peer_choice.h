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

// What a daemon knows of one upstream when it chooses: reports of the daemon beside it, and its own
// observations.
struct peer_candidate {
  std::int64_t slots = 1;
  // As reported last: requests running and waiting.
  std::int64_t reported_requests = 0;
  // Requests that this daemon sent there since that report.
  std::int64_t sent_since_report = 0;
  // Mean time of responses; zero if unknown.
  kernel::microseconds response_time{};
  // Share of requests that failed lately, 0 to 1.
  double failure_rate = 0;
  // What the way there costs, as a factor.
  double network_cost = 1;
};

// The expected cost of a request at a candidate; the unit is microseconds.
double CostOf(const peer_candidate& candidate, kernel::microseconds usual_response_time);

// Chooses the candidate at which a request is expected to end first, counting failures as time. Own
// domain first while it has room; of equals, one by chance.
template <kernel::random_source Random>
std::optional<std::size_t> ChoosePeer(const std::vector<peer_candidate>& candidates,
                                      Random& random);

namespace internal {

kernel::microseconds UsualResponseTime(const std::vector<peer_candidate>& candidates);

}  // namespace internal

template <kernel::random_source Random>
std::optional<std::size_t> ChoosePeer(const std::vector<peer_candidate>& candidates,
                                      Random& random) {
  const kernel::microseconds usual = internal::UsualResponseTime(candidates);
  std::optional<std::size_t> best;
  double best_cost = 0;
  std::uint64_t equals = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double cost = CostOf(candidates[i], usual);
    if (best && cost > best_cost) continue;
    equals = best && cost == best_cost ? equals + 1 : 1;
    if (equals > 1 && kernel::UniformBelow(random, equals) != 0) continue;
    best = i;
    best_cost = cost;
  }
  return best;
}

}  // namespace cornelweir::routing

#endif  // CORNELWEIR_SRC_ROUTING_PEER_CHOICE_H_
