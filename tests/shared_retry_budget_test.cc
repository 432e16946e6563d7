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
  EXPECT_EQ(retries, static_cast<int>(100 * 0.2 * kUsedRatio));
  EXPECT_FALSE(budget.TryRetry(5, now + std::chrono::seconds(5)));
}

// Guards against a chain of services whose retries multiply: requests to "a" run again, and each of
// their runs calls "b" more than once. "b" rejects requests too, so its callers also retry.
TEST(SharedRetryBudget, RetriesOfAChainStayWithinEachBudget) {
  EXPECT_TRUE(rc::check([] {
    const retry_limits limits{0.2, 56, kernel::milliseconds(10'000)};
    constexpr std::size_t kHosts = 9;
    // The upstreams of "a" are on the first hosts. Every host has callers of both services.
    constexpr std::size_t kHostsOfA = 3;
    struct host {
      explicit host(const retry_limits& limits) : to_a(limits), to_b(limits) {}
      shared_retry_budget to_a;
      shared_retry_budget to_b;
      double runs = 0;
      double repeated_runs = 0;
    };
    std::vector<host> hosts(kHosts, host(limits));
    const int failing_percent = *rc::gen::inRange(10, 90);
    const auto fails = [&] { return *rc::gen::inRange(0, 100) < failing_percent; };
    double requests_to_b = 0;
    double retries_to_b = 0;
    const kernel::time_point now{std::chrono::seconds(50)};
    const auto send_to_b = [&](host& sender, bool from_repeated_run, double repeat_share) {
      sender.to_b.OnRequest(now);
      sender.to_b.OnIndirectRetry(repeat_share, now);
      requests_to_b += 1;
      if (from_repeated_run) retries_to_b += 1;
      if (fails() && sender.to_b.TryRetry(kHosts, now)) retries_to_b += 1;
    };
    const auto run_at_a = [&](bool repeated) {
      host& runs = hosts[*rc::gen::inRange<std::size_t>(0, kHostsOfA)];
      runs.runs += 1;
      if (repeated) runs.repeated_runs += 1;
      for (int call = *rc::gen::inRange(0, 4); call > 0; --call) {
        send_to_b(runs, repeated, runs.repeated_runs / runs.runs);
      }
    };
    for (int i = 0; i < 400; ++i) {
      host& entry = hosts[*rc::gen::inRange<std::size_t>(0, kHosts)];
      entry.to_a.OnRequest(now);
      run_at_a(false);
      if (fails() && entry.to_a.TryRetry(kHosts, now)) run_at_a(true);
      send_to_b(hosts[*rc::gen::inRange<std::size_t>(0, kHosts)], false, 0);
    }
    RC_ASSERT(retries_to_b <= limits.ratio * requests_to_b + limits.slack);
  }));
}

}  // namespace
}  // namespace cornelweir::outcome
