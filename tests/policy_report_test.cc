// Tests the checks of a policy and the comparison of two policies.

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "cornelweir/policy.h"

namespace cornelweir::policy {
namespace {

policy_table ValidTable() {
  policy_table table;
  table.version = kernel::policy_version(1);
  table.services = {{kernel::service_name("a"), "/health", 100, "h1", false},
                    {kernel::service_name("b"), "/health", 100, "h1", false}};
  route entry;
  entry.name = kernel::route_name("r");
  entry.host = "x.example";
  entry.path_prefix = "/p/";
  entry.timeout = kernel::milliseconds(1'000);
  entry.latency_objective = kernel::milliseconds(500);
  entry.attempts = 2;
  entry.split = {{kernel::service_name("a"), kernel::weight(3)},
                 {kernel::service_name("b"), kernel::weight(1)}};
  table.routes = {entry};
  workspace north;
  north.name = kernel::workspace_id("north");
  north.keys = {kernel::api_key("key-1"), kernel::api_key("key-2")};
  north.rate = kernel::request_rate(500);
  north.burst = kernel::request_amount(1'000);
  table.workspaces = {north};
  return table;
}

struct contradiction {
  std::string place;
  std::string message;
  std::function<void(policy_table&)> make;
};

// Guards against a part of a policy that has no effect and is not reported, and against warnings
// about a policy without such parts.
TEST(PolicyReport, WarnsOfEachContradiction) {
  EXPECT_TRUE(FindErrors(ValidTable()).empty());
  EXPECT_TRUE(FindWarnings(ValidTable()).empty());
  const std::string route_place = "route r (x.example/p/)";
  const std::vector<contradiction> cases{
      {route_place, "beyond the timeout",
       [](auto& t) { t.routes[0].latency_objective = kernel::milliseconds(1'001); }},
      {route_place, "3 attempts can't fit", [](auto& t) { t.routes[0].attempts = 3; }},
      {route_place, "weight 0", [](auto& t) { t.routes[0].split[1].weight = kernel::weight(0); }},
      {"route r (X.example:80/p/)", "never matches",
       [](auto& t) {
         t.routes.push_back(t.routes[0]);
         t.routes[1].host = "X.example:80";
       }},
      {"service b", "no route names it", [](auto& t) { t.routes[0].split.pop_back(); }},
      {"workspace north", "no keys", [](auto& t) { t.workspaces[0].keys.clear(); }},
      {"workspace north", "below one request",
       [](auto& t) { t.workspaces[0].burst = kernel::request_amount(999); }},
      {"workspace north", "without a rate", [](auto& t) { t.workspaces[0].rate.reset(); }},
  };
  for (const contradiction& each : cases) {
    policy_table table = ValidTable();
    each.make(table);
    EXPECT_TRUE(FindErrors(table).empty()) << each.message;
    const std::vector<finding> warnings = FindWarnings(table);
    ASSERT_EQ(warnings.size(), 1U) << each.message;
    EXPECT_EQ(warnings[0].place, each.place);
    EXPECT_NE(warnings[0].message.find(each.message), std::string::npos) << warnings[0].message;
  }
}

// Guards against a tool that finds other errors than control hosts, stops at the first one, or
// prints a key.
TEST(PolicyReport, ListsAllErrorsWithoutKeys) {
  policy_table table = ValidTable();
  table.routes[0].attempts = 0;
  table.routes[0].split[0].service = kernel::service_name("unknown");
  table.workspaces.push_back(table.workspaces[0]);
  table.workspaces[1].name = kernel::workspace_id("south");
  const std::vector<finding> errors = FindErrors(table);
  EXPECT_EQ(errors.size(), 4U) << "two shared keys, attempts, service";
  EXPECT_EQ(Validate(table).size(), errors.size());
  for (const std::string& text : Validate(table)) EXPECT_EQ(text.find("key-"), std::string::npos);
}

// Guards against a document with millions of errors that fills the memory.
TEST(PolicyReport, BoundsTheNumberOfFindings) {
  policy_table table = ValidTable();
  table.workspaces.assign(kMaxFindings * 2, workspace());
  EXPECT_EQ(FindErrors(table).size(), kMaxFindings);
  EXPECT_EQ(FindWarnings(table).size(), kMaxFindings);
}

// Guards against a change that is not listed, or whose listing contains a key.
TEST(PolicyReport, ComparesTwoPolicies) {
  const policy_table before = ValidTable();
  EXPECT_TRUE(Compare(before, before).empty());
  policy_table after = before;
  after.services[1].name = kernel::service_name("c");
  after.limits.max_body_bytes = 5;
  after.workspaces[0].keys = {kernel::api_key("key-2"), kernel::api_key("key-3"),
                              kernel::api_key("key-4")};
  after.workspaces[0].rate.reset();
  after.routes[0].split[0].weight = kernel::weight(1);
  after.routes[0].public_access = true;
  using kind = change_kind;
  const std::vector<policy_change> expected{
      {kind::kRemoved, "service b", "", "", ""},
      {kind::kAdded, "service c", "", "", ""},
      {kind::kChanged, "limits", "max body bytes", "1048576", "5"},
      {kind::kChanged, "workspace north", "rate", "0.5/s", "no limit"},
      {kind::kChanged, "workspace north", "keys", "2", "3 (2 added, 1 removed)"},
      {kind::kChanged, "route r (x.example/p/)", "destination", "a 75%, b 25%", "a 50%, b 50%"},
      {kind::kChanged, "route r (x.example/p/)", "public", "no", "yes"}};
  EXPECT_EQ(Compare(before, after), expected);
  EXPECT_EQ(CountByKind(expected), (change_counts{1, 1, 5}));
}

// Guards against workspace limits that the services can't run, against a warning although the
// capacity of a service is unknown, and against a rollout that no upstream can serve.
TEST(PolicyReport, WarnsOfLimitsAboveTheCapacityOfTheUpstreams) {
  policy_table table = ValidTable();
  table.workspaces[0].rate = kernel::request_rate(50'000);
  const kernel::request_rate limit(20'000);
  std::vector<service_state> services{{kernel::service_name("a"), 2, 10, limit, {}},
                                      {kernel::service_name("b"), 1, 5, limit, {}}};
  const std::vector<finding> warnings = FindDeploymentWarnings(table, services);
  ASSERT_EQ(warnings.size(), 1U);
  EXPECT_EQ(warnings[0].message,
            "their rates sum to 50/s, but the upstreams of the routed services take at most 40/s");
  services[0].rate_limit.reset();
  services[1].rollout = rollout_target{kernel::software_version("v2"), 1};
  EXPECT_TRUE(FindDeploymentWarnings(table, services).empty());
  EXPECT_TRUE(FindDeploymentWarnings(table, {}).empty());
  services[1].rollout->upstreams = 0;
  ASSERT_EQ(FindDeploymentWarnings(table, services).size(), 1U);
  EXPECT_EQ(FindDeploymentWarnings(table, services)[0].place, "service b");
}

}  // namespace
}  // namespace cornelweir::policy
