// Shares of a traffic split, and the choice among upstreams.

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/routing.h"

namespace cornelweir::routing {
namespace {

// Guards against shares that are right on average only: few requests must have them too.
TEST(WeightedRoundRobin, KeepsTheSharesInAnyRun) {
  EXPECT_TRUE(rc::check([] {
    const auto weights =
        *rc::gen::container<std::vector<std::int64_t>>(3, rc::gen::inRange<std::int64_t>(0, 100));
    const std::int64_t sum = weights[0] + weights[1] + weights[2];
    RC_PRE(sum > 0);
    weighted_round_robin order(weights, *rc::gen::inRange<std::uint64_t>(0, 1'000));
    std::vector<double> picks(3, 0);
    for (int i = 1; i <= 200; ++i) {
      ++picks[order.Next()];
      for (std::size_t part = 0; part < 3; ++part) {
        const double due = i * static_cast<double>(weights[part]) / static_cast<double>(sum);
        RC_ASSERT(std::abs(picks[part] - due) < 3.0);
      }
    }
  }));
}

peer_candidate Candidate(std::int64_t reported_requests, int response_ms) {
  peer_candidate candidate;
  candidate.slots = 10;
  candidate.reported_requests = reported_requests;
  candidate.response_time = std::chrono::milliseconds(response_ms);
  return candidate;
}

// Guards against requests that go where they wait although another upstream has room.
TEST(PeerChoice, PrefersRoomThenSpeedThenTheOwnDomain) {
  kernel::seeded_random random(1);
  EXPECT_EQ(ChoosePeer(std::vector{Candidate(25, 50), Candidate(5, 50)}, random), 1U);
  EXPECT_EQ(ChoosePeer(std::vector{Candidate(5, 90), Candidate(5, 50)}, random), 1U);
  std::vector<peer_candidate> near_and_far{Candidate(5, 50), Candidate(5, 50)};
  near_and_far[0].network_cost = kOtherDomainCost;
  EXPECT_EQ(ChoosePeer(near_and_far, random), 1U);
  EXPECT_FALSE(ChoosePeer({}, random));
}

// Guards against an upstream that fails fast and draws all requests to itself.
TEST(PeerChoice, CountsFailuresAsTime) {
  kernel::seeded_random random(1);
  std::vector<peer_candidate> candidates{Candidate(0, 10), Candidate(5, 50)};
  candidates[0].failure_rate = 0.9;
  EXPECT_EQ(ChoosePeer(candidates, random), 1U);
}

// Guards against a new upstream that gets nothing because nothing is known of it.
TEST(PeerChoice, TakesAnUnknownUpstreamForAUsualOne) {
  kernel::seeded_random random(1);
  peer_candidate fresh = Candidate(0, 0);
  EXPECT_EQ(ChoosePeer(std::vector{Candidate(8, 50), Candidate(8, 60), fresh}, random), 2U);
}

}  // namespace
}  // namespace cornelweir::routing
