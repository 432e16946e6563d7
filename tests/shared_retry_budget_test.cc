// A retry budget that all daemons share without communicating.

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>
#include <vector>

#include "cornelweir/outcome.h"

namespace cornelweir::outcome {
namespace {

// Guards against daemons that together exceed the budget in any window.
TEST(SharedRetryBudget, DaemonsTogetherNeverExceedTheBudget) {
  EXPECT_TRUE(rc::check([] {
    const retry_limits limits{0.2, 12, kernel::milliseconds(1'000)};
    constexpr std::size_t kDaemons = 3;
    std::vector<shared_retry_budget> budgets(kDaemons, shared_retry_budget(limits));
    std::deque<kernel::time_point> requests;
    std::deque<kernel::time_point> retries;
    kernel::time_point now{std::chrono::seconds(50)};
    for (int step = 0; step < 300; ++step) {
      now += kernel::milliseconds(*rc::gen::inRange(0, 40));
      shared_retry_budget& budget = budgets[*rc::gen::inRange<std::size_t>(0, kDaemons)];
      if (*rc::gen::inRange(0, 3) == 0) {
        budget.OnRequest(now);
        requests.push_back(now);
      }
      if (budget.TryRetry(kDaemons, now)) retries.push_back(now);
      const auto remove_expired = [&](std::deque<kernel::time_point>& times) {
        while (!times.empty() && times.front() <= now - limits.window) times.pop_front();
      };
      remove_expired(requests);
      remove_expired(retries);
      RC_ASSERT(static_cast<double>(retries.size()) <=
                0.2 * static_cast<double>(requests.size()) + 12);
    }
  }));
}

// Guards against a budget that allows fewer retries than the part of the daemon.
TEST(SharedRetryBudget, AllowsThePartOfOneDaemon) {
  shared_retry_budget budget({0.2, 0, kernel::milliseconds(10'000)});
  const kernel::time_point now{std::chrono::seconds(50)};
  for (int i = 0; i < 100; ++i) budget.OnRequest(now);
  int retries = 0;
  while (budget.TryRetry(5, now)) ++retries;
  EXPECT_EQ(retries, static_cast<int>(100 * 0.2 * kOwnRetryShare));
  EXPECT_FALSE(budget.TryRetry(5, now + std::chrono::seconds(5)));
}

}  // namespace
}  // namespace cornelweir::outcome
