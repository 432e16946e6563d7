// Weighted round robin for traffic splits.

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <vector>

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

}  // namespace
}  // namespace cornelweir::routing
