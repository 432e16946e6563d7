// Tests the order of service at an upstream that is short of slots, in simulated time.

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

#include "cornelweir/admission.h"
#include "cornelweir/kernel.h"
#include "tests/slot_simulation.h"

namespace cornelweir::admission {
namespace {

constexpr milliseconds kBurstStart{20'000};
constexpr milliseconds kBurstEnd{22'000};

// Short urgent requests at 0.8 of 12 slots, and nested ones of a longer request.
std::vector<flow> UrgentAndNested(std::int32_t nested_priority) {
  std::vector<flow> flows{
      {"live", "", 30, milliseconds(110), milliseconds(250), milliseconds(800)},
      {"setpoint", "", 30, milliseconds(190), milliseconds(500), milliseconds(1'200)},
      {"nested", "", 20, milliseconds(66), milliseconds(250), milliseconds(1'000)}};
  flows[2].nested = true;
  flows[2].priority = nested_priority;
  for (flow& burst : flows) {
    burst.burst_start = kBurstStart;
    burst.burst_end = kBurstEnd;
    burst.burst_factor = 2;
  }
  return flows;
}

// Guards against nested requests that pass all others: 0.967 and 0.895 of the urgent ones met their
// objectives then.
TEST(ServiceOrder, UrgentRequestsGoBeforeNestedOnesThatCanWait) {
  const auto outcomes = slot_simulation(12).Run(UrgentAndNested(0), milliseconds(40'000));
  EXPECT_GE(Share(outcomes[0].within_objective, outcomes[0].sent), 0.98);
  EXPECT_GE(Share(outcomes[1].within_objective, outcomes[1].sent), 0.915);
  EXPECT_GE(Share(outcomes[2].ended_in_time, outcomes[2].sent), 0.98) << "wastes their parents";
  for (const flow_outcome& outcome : outcomes) EXPECT_EQ(outcome.timed_out, 0);
}

// Guards against nested requests of less urgent parents that are starved in a burst.
TEST(ServiceOrder, NestedRequestsOfLessUrgentParentsAreServed) {
  const auto outcomes = slot_simulation(12).Run(UrgentAndNested(1), milliseconds(40'000));
  EXPECT_GE(Share(outcomes[0].within_objective, outcomes[0].sent), 0.975);
  EXPECT_GE(Share(outcomes[2].ended_in_time, outcomes[2].sent), 0.9);
}

// Guards against long requests of an overloaded service that delay the short calls of another one:
// every call that waits keeps a slot there from being used. The calls took 0.5 s at the median
// then.
TEST(ServiceOrder, NestedRequestsDoNotWaitForLongOnes) {
  std::vector<flow> flows{
      {"write", "", 45, milliseconds(340), milliseconds(2'000), milliseconds(2'500)},
      {"nested", "", 33, milliseconds(66), milliseconds(250), milliseconds(800)}};
  flows[1].nested = true;
  const auto outcomes = slot_simulation(12).Run(flows, milliseconds(40'000));
  EXPECT_GE(Share(outcomes[1].within_objective, outcomes[1].sent), 0.98);
  // The nested requests leave 0.82 of the slots.
  EXPECT_GE(outcomes[0].within_objective, 0.9 * 40 * 0.82 * 12 / 0.34);
}

// Guards against a workspace at seven times its usual rate that takes the slots of small ones.
TEST(ServiceOrder, ASurgeOfOneWorkspaceDoesNotPushOutOthers) {
  std::vector<flow> flows{
      {"read", "large", 40, milliseconds(110), milliseconds(500), milliseconds(2'000)}};
  flows[0].burst_start = kBurstStart;
  flows[0].burst_end = milliseconds(30'000);
  flows[0].burst_factor = 7;
  for (int i = 0; i < 8; ++i) {
    flows.push_back({"read", "small-" + std::to_string(i), 2.5, milliseconds(110),
                     milliseconds(500), milliseconds(2'000)});
  }
  const auto outcomes = slot_simulation(12).Run(flows, milliseconds(30'000));
  int sent = 0;
  int met = 0;
  for (std::size_t i = 1; i < outcomes.size(); ++i) {
    sent += outcomes[i].sent;
    met += outcomes[i].within_objective;
  }
  EXPECT_GE(Share(met, sent), 0.97);
  EXPECT_GE(outcomes[0].within_objective, 20 * 40 + 10 * 80) << "free slots were not used";
}

// Guards against a route that gets no slots as long as others have more urgent requests: each gets
// a quarter of the mean, here 13 requests a second.
TEST(ServiceOrder, NoRouteIsStarved) {
  std::vector<flow> flows{
      {"urgent", "", 200, milliseconds(110), milliseconds(500), milliseconds(2'000)},
      {"batch", "", 20, milliseconds(110), milliseconds(500), milliseconds(2'000)}};
  flows[1].priority = 3;
  const auto outcomes = slot_simulation(12).Run(flows, milliseconds(30'000));
  EXPECT_GE(outcomes[1].within_objective, 30 * 13);
  EXPECT_GE(outcomes[0].within_objective, 30 * 80);
}

// Guards against the rank of a single unusual request: a call inherits the typical one.
TEST(ServiceOrder, CallsInheritTheMedianRank) {
  EXPECT_FALSE(RankOfCall({}));
  const auto rank = [](std::int32_t priority, int objective_ms, int deadline_ms) {
    return request_rank{priority, kernel::time_point(milliseconds(objective_ms)),
                        kernel::time_point(milliseconds(deadline_ms))};
  };
  EXPECT_EQ(RankOfCall({rank(3, 100, 200), rank(1, 900, 950), rank(1, 500, 2'000)}),
            rank(1, 900, 2'000));
}

// Guards against holding back requests for the calls of others, and before enough is known.
TEST(ServiceOrder, LearnsWhichServicesTheRunsOfARouteCall) {
  const kernel::route_name calling("calling");
  const kernel::route_name other("other");
  const kernel::service_name called("called");
  const auto wait_of = [](const kernel::service_name&) { return milliseconds(100); };
  route_calls calls;
  for (int i = 0; i < 1'000; ++i) {
    EXPECT_TRUE(i >= 16 || calls.ExpectedWait(calling, wait_of) == milliseconds(0));
    calls.OnRunEnded(calling);
    calls.OnRunEnded(other);
    if (i % 2 == 0) calls.OnCall(called, {calling});
  }
  EXPECT_NEAR(static_cast<double>(calls.ExpectedWait(calling, wait_of).count()), 50'000, 1'000);
  EXPECT_EQ(calls.ExpectedWait(other, wait_of), milliseconds(0));
}

// Guards against a change in the mix of routes that looks like a stall, and stalls that show late.
TEST(ServiceOrder, DetectsAStallWithinAFewRuns) {
  upstream_speed speed;
  const kernel::route_name fast("fast");
  const kernel::route_name slow("slow");
  for (int i = 0; i < 200; ++i) {
    speed.OnRun(fast, milliseconds(50));
    speed.OnRun(slow, milliseconds(250));
  }
  for (int i = 0; i < 10; ++i) speed.OnRun(slow, milliseconds(250));
  EXPECT_EQ(speed.slowdown_percent(), 100);
  EXPECT_NEAR(static_cast<double>(speed.usual_run_time().count()), 150'000, 20'000);
  for (int i = 0; i < 4; ++i) speed.OnRun(fast, milliseconds(125));
  EXPECT_GT(speed.slowdown_percent(), 180);
  for (int i = 0; i < 6; ++i) speed.OnRun(fast, milliseconds(50));
  EXPECT_LT(speed.slowdown_percent(), 125);
}

// Guards against an upstream that gets no requests any more because it was slow for a while, and
// against timeouts that are forgotten because only complete runs are counted.
TEST(ServiceOrder, SafeRunTimeFollowsTimeoutsAndRecovers) {
  run_time_estimate estimate;
  kernel::time_point now{std::chrono::seconds(1)};
  EXPECT_EQ(estimate.Safe(milliseconds(2'500), now), milliseconds(0));
  for (int i = 0; i < 20; ++i) estimate.OnCompleted(milliseconds(100), now);
  EXPECT_LT(estimate.Safe(milliseconds(2'500), now), milliseconds(105));
  estimate.OnTimeout(milliseconds(50), now);
  EXPECT_LT(estimate.Safe(milliseconds(2'500), now), milliseconds(105));
  for (int i = 0; i < 8; ++i) estimate.OnTimeout(milliseconds(2'500), now);
  EXPECT_EQ(estimate.Safe(milliseconds(2'500), now), milliseconds(1'500));
  for (int i = 0; i < 20; ++i) estimate.OnCompleted(milliseconds(100), now);
  now += std::chrono::seconds(5);
  EXPECT_LT(estimate.Safe(milliseconds(2'500), now), milliseconds(350));
}

}  // namespace
}  // namespace cornelweir::admission
