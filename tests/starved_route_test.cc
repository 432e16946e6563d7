// Tests that an upstream that is short of slots serves no route much less often than the others, in
// simulated time.

#include <gtest/gtest.h>

#include <vector>

#include "cornelweir/admission.h"
#include "tests/slot_simulation.h"

namespace cornelweir::admission {
namespace {

// Direct requests with long runs, and the calls of running upstreams, at 6 slots that are left of
// more: the direct ones ask for 2.6 times the slots, the calls for 0.64 of them.
std::vector<flow> CallsAndLongRequests() {
  std::vector<flow> flows{
      {"call", "", 70, milliseconds(55), milliseconds(200), milliseconds(600), kMostUrgent},
      {"repair", "", 54, milliseconds(290), milliseconds(1'000), milliseconds(2'000), 1}};
  flows[0].nested = true;
  return flows;
}

double ServedShare(const flow_outcome& outcome) {
  return Share(outcome.ended_in_time, outcome.sent);
}

// The users' target: no kind of request is served less than a quarter as often as all.
void ExpectNoneStarved(const std::vector<flow_outcome>& outcomes) {
  flow_outcome all;
  for (const flow_outcome& outcome : outcomes) {
    all.sent += outcome.sent;
    all.ended_in_time += outcome.ended_in_time;
  }
  for (const flow_outcome& outcome : outcomes) {
    EXPECT_GE(ServedShare(outcome), 0.25 * ServedShare(all)) << "of " << ServedShare(all);
  }
}

// Guards against a route with long runs that has its share of the slots, and yet is served a tenth
// as often as the calls that share them.
TEST(StarvedRoute, LongRequestsAreNotStarvedBesideShortCalls) {
  ExpectNoneStarved(slot_simulation(6).Run(CallsAndLongRequests(), milliseconds(30'000)));
}

// Guards against a route that gets nothing from an upstream that turned slow: each of its requests
// would miss its objective, so all were refused, and its run time was never measured again.
TEST(StarvedRoute, LongRequestsAreNotStarvedAtASlowUpstream) {
  slot_simulation simulation(6);
  std::vector<flow> flows = CallsAndLongRequests();
  simulation.Run(flows, milliseconds(5'000));
  for (flow& slow : flows) slow.run_time *= 3;
  ExpectNoneStarved(simulation.Run(flows, milliseconds(30'000)));
}

}  // namespace
}  // namespace cornelweir::admission
