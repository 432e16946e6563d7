// Weighted round robin for traffic splits, and the choice of a peer by expected cost.

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/routing.h"

namespace cornelweir::routing {
namespace {

// Guards against shares that hold only on average: they must hold for short runs of picks too.
TEST(WeightedRoundRobin, KeepsTheSharesInEveryRunOfPicks) {
  EXPECT_TRUE(rc::check([] {
    const auto weights =
        *rc::gen::container<std::vector<std::int64_t>>(3, rc::gen::inRange<std::int64_t>(0, 100));
    const std::int64_t sum = weights[0] + weights[1] + weights[2];
    RC_PRE(sum > 0);
    weighted_round_robin order(weights, *rc::gen::inRange<std::uint64_t>(0, 1'000));
    std::vector<double> picks(3, 0);
    for (int i = 1; i <= 200; ++i) {
      ++picks[order.Next()];
      for (std::size_t index = 0; index < 3; ++index) {
        const double expected = i * static_cast<double>(weights[index]) / static_cast<double>(sum);
        RC_ASSERT(std::abs(picks[index] - expected) < 3.0);
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

// Guards against requests queued at a full upstream while another one has free slots.
TEST(PeerChoice, PrefersFreeSlotsThenSpeedThenTheOwnDomain) {
  kernel::seeded_random random(1);
  EXPECT_EQ(ChoosePeer(std::vector{Candidate(25, 50), Candidate(5, 50)}, random), 1U);
  EXPECT_EQ(ChoosePeer(std::vector{Candidate(5, 90), Candidate(5, 50)}, random), 1U);
  std::vector<peer_candidate> other_and_own_domain{Candidate(5, 50), Candidate(5, 50)};
  other_and_own_domain[0].network_cost = kOtherDomainCost;
  EXPECT_EQ(ChoosePeer(other_and_own_domain, random), 1U);
  EXPECT_FALSE(ChoosePeer({}, random));
}

// Guards against an upstream that fails fast and therefore attracts all requests.
TEST(PeerChoice, AddsFailuresToTheCost) {
  kernel::seeded_random random(1);
  std::vector<peer_candidate> candidates{Candidate(0, 10), Candidate(5, 50)};
  candidates[0].failure_rate = 0.9;
  EXPECT_EQ(ChoosePeer(candidates, random), 1U);
}

// Guards against a new upstream that receives no requests because its response time is unknown.
TEST(PeerChoice, AssumesTheMeanResponseTimeForANewUpstream) {
  kernel::seeded_random random(1);
  peer_candidate unknown = Candidate(0, 0);
  EXPECT_EQ(ChoosePeer(std::vector{Candidate(8, 50), Candidate(8, 60), unknown}, random), 2U);
}

// Guards against large bodies for hosts whose links are busy, and against a host that is avoided
// for ever because of a backlog that it had once.
TEST(PeerChoice, CountsTheTimeOfALargeBodyOnTheLink) {
  const link_load idle{0, 750'000, {}, 0};
  link_load busy{600'000, 750'000, {}, 150'000};
  EXPECT_EQ(ExpectedTransferTime({}, 75'000), kernel::microseconds::zero()) << "rate unknown";
  EXPECT_EQ(ExpectedTransferTime(idle, 75'000), std::chrono::milliseconds(100));
  EXPECT_EQ(ExpectedTransferTime(busy, 75'000), std::chrono::milliseconds(1'100));
  std::vector<peer_candidate> candidates{Candidate(3, 50), Candidate(3, 50)};
  candidates[0].transfer_time = ExpectedTransferTime(busy, 75'000);
  candidates[1].transfer_time = ExpectedTransferTime(idle, 75'000);
  kernel::seeded_random random(1);
  EXPECT_EQ(ChoosePeer(candidates, random), 1U);
  busy.report_age = std::chrono::seconds(10);
  EXPECT_LT(ExpectedTransferTime(busy, 75'000), std::chrono::milliseconds(310));
}

}  // namespace
}  // namespace cornelweir::routing
