#ifndef CORNELWEIR_SRC_ROUTING_PEER_CHOICE_H_
#define CORNELWEIR_SRC_ROUTING_PEER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/routing/limits.h"

namespace cornelweir::routing {

// What a daemon knows about one upstream: the reports of the upstream's daemon and its own
// observations.
struct peer_candidate {
  std::int64_t slots = 1;
  // Requests running and queued, as last reported.
  std::int64_t reported_requests = 0;
  // Requests that this daemon has sent to the upstream since that report.
  std::int64_t sent_since_report = 0;
  // The age of the report.
  kernel::microseconds report_age{};
  // Usual run time; zero if unknown.
  kernel::microseconds run_time{};
  // Usual run time of the requests of the route; zero if unknown.
  kernel::microseconds route_run_time{};
  // The present run time in percent of the usual one, as last reported.
  std::int64_t slowdown_percent = 100;
  // Fraction of the recent requests that failed, 0 to 1.
  double failure_rate = 0;
  // Expected time until the body of the request has arrived; zero unless it is large.
  kernel::microseconds transfer_time{};
  bool own_domain = true;
  // The part of a request by which the upstream is behind its share of this daemon's requests.
  // ChoosePeer() updates it; it is kept from one choice to the next. A random start in 0 to 1 makes
  // different daemons begin with different upstreams.
  double credit = 0;
};

// How strongly a daemon prefers the upstreams of its own failure domain.
struct domain_preference {
  // The part of all daemons that is in the domain.
  double daemon_share = 1;
  // Factor on the requests that stay in the domain, above 1 if crossing to another is expensive.
  double factor = 1;
};

// The run time that a request can expect at a candidate: the reported slowdown counts less as the
// report gets older. mean_run_time stands in for an unknown run time.
kernel::microseconds ExpectedRunTime(const peer_candidate& candidate,
                                     kernel::microseconds mean_run_time);

// The time that a request can expect to wait for a slot, as far as a recent report tells, and until
// its body has arrived.
kernel::microseconds ExpectedPeerWait(const peer_candidate& candidate,
                                      kernel::microseconds run_time);

// The probability that a request misses its objective, if it runs for this time on average and
// this time is left for it. Run times are taken to be distributed log-normally.
double LateProbability(kernel::microseconds run_time, kernel::microseconds time_left);

// Chooses an upstream for a request, and returns its index; empty if there are no candidates.
// objective_left is the time until the latency objective of the request.
//
// A daemon sends few requests to each upstream, so what it knows of their queues is mostly old, and
// choosing the shortest queue would send the requests of many daemons to the same upstream.
// Instead, each upstream gets requests in proportion to its measured speed, by smooth weighted
// round robin. Upstreams at which requests would wait, by a recent report, are passed over.
//
// Within these shares, requests whose objectives leave little time beyond their run time get the
// fast upstreams, and the other requests get the slow ones.
//
// The requests of a failure domain stay in it as far as the capacity of its own upstreams allows.
// Upstreams without a share of them get requests only if the others are passed over.
std::optional<std::size_t> ChoosePeer(std::vector<peer_candidate>& candidates,
                                      const domain_preference& preference,
                                      kernel::microseconds objective_left = kNoObjective);

// The fraction of a daemon's requests that stay in its own failure domain, so that its upstreams
// get no more than in proportion to their capacity if all daemons send equally many requests.
// capacity_share is the domain's part of the capacity, and daemon_share its part of the daemons.
double OwnDomainShare(double capacity_share, double daemon_share);

}  // namespace cornelweir::routing

#endif  // CORNELWEIR_SRC_ROUTING_PEER_CHOICE_H_
