// Policies: deltas, validation and route lookup.

#include "cornelweir/policy.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <memory>
#include <string>
#include <vector>

namespace cornelweir::policy {
namespace {

route Route(const std::string& host, const std::string& prefix, int timeout_ms = 800) {
  route result;
  result.name = kernel::route_name("r" + prefix);
  result.host = host;
  result.path_prefix = prefix;
  result.retry_safety = retry_safety::kIdempotent;
  result.timeout = kernel::milliseconds(timeout_ms);
  result.latency_objective = kernel::milliseconds(300);
  result.service = kernel::service_name("forms");
  return result;
}

workspace Workspace(const std::string& name, const std::vector<std::string>& keys) {
  workspace result;
  result.name = kernel::workspace_id(name);
  for (const std::string& key : keys) result.keys.emplace_back(key);
  return result;
}

policy_table Table(std::uint64_t version, std::vector<route> routes) {
  policy_table table;
  table.version = kernel::policy_version(version);
  table.services = {{kernel::service_name("forms"), "/health", 100, "h1", false}};
  table.routes = std::move(routes);
  return table;
}

// Guards against deltas that leave a daemon with a policy that differs from the accepted one.
TEST(Policy, ADeltaTurnsAnyTableIntoAnyOther) {
  EXPECT_TRUE(rc::check([] {
    const auto random_routes = [] {
      std::vector<route> routes;
      std::vector<int> order(8);
      for (int i = 0; i < 8; ++i) order[static_cast<std::size_t>(i)] = i;
      for (std::size_t i = order.size(); i > 1; --i) {
        std::swap(order[i - 1], order[*rc::gen::inRange<std::size_t>(0, i)]);
      }
      const auto count = *rc::gen::inRange<std::size_t>(0, 9);
      for (std::size_t i = 0; i < count; ++i) {
        routes.push_back(Route("h" + std::to_string(order[i] % 3),
                               "/" + std::to_string(order[i]) + "/",
                               *rc::gen::inRange(1, 3) * 100));
      }
      return routes;
    };
    const policy_table old_table = Table(3, random_routes());
    policy_table new_table = Table(7, random_routes());
    if (*rc::gen::arbitrary<bool>()) new_table.limits.max_body_bytes = 5;
    for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
      new_table.workspaces.push_back(Workspace("w" + std::to_string(i), {std::to_string(i)}));
    }
    const auto applied = Apply(old_table, Diff(old_table, new_table));
    RC_ASSERT(applied.has_value());
    RC_ASSERT(*applied == new_table);
  }));
}

// Guards against deltas that list every route. Operators add routes in the middle of their table,
// and each such change must not send the whole order to every daemon.
TEST(Policy, OmitsTheOrderForARouteAddedInTheMiddle) {
  const policy_table one = Table(1, {Route("a", "/x/"), Route("b", "/x/"), Route("c", "/x/")});
  const policy_table two =
      Table(2, {Route("a", "/x/"), Route("a", "/y/"), Route("c", "/x/"), Route("d", "/x/")});
  const policy_delta delta = Diff(one, two);
  EXPECT_FALSE(delta.order);
  EXPECT_TRUE(delta.changed.empty());
  EXPECT_EQ(delta.inserted.size(), 2U);
  EXPECT_EQ(Apply(one, delta), two);
}

// Guards against applying a malformed delta.
TEST(Policy, RejectsADeltaWithAnUnknownRouteOrPosition) {
  const policy_table one = Table(1, {Route("a", "/x/")});
  policy_delta delta;
  delta.base = one.version;
  delta.version = kernel::policy_version(2);
  delta.changed = {Route("b", "/x/")};
  EXPECT_FALSE(Apply(one, delta)) << "changes a route that is not in the base";
  delta.changed.clear();
  delta.inserted = {{7, Route("b", "/x/")}};
  EXPECT_FALSE(Apply(one, delta)) << "a position beyond the end";
}

// Guards against applying a delta to a table other than its base.
TEST(Policy, RejectsADeltaWithAnotherBase) {
  const policy_table one = Table(1, {Route("h", "/a/")});
  const policy_table two = Table(2, {Route("h", "/b/")});
  policy_delta delta = Diff(one, two);
  EXPECT_FALSE(Apply(two, delta));
  delta.base = two.version;
  EXPECT_FALSE(Apply(two, delta)) << "removes a route that is not in the base";
}

// Guards against accepting an invalid policy.
TEST(Policy, ReportsEachError) {
  EXPECT_TRUE(Validate(Table(1, {Route("h", "/a/")})).empty());
  const auto error_count = [](auto change) {
    route changed = Route("h", "/a/");
    change(changed);
    return Validate(Table(1, {changed})).size();
  };
  EXPECT_EQ(error_count([](route& r) { r.service = kernel::service_name("nobody"); }), 1U);
  EXPECT_EQ(error_count([](route& r) { r.timeout = kMaxTimeout + kernel::milliseconds(1); }), 1U);
  EXPECT_EQ(error_count([](route& r) { r.latency_objective = r.timeout + kMaxObjectiveExcess; }),
            1U);
  EXPECT_EQ(error_count([](route& r) {
              r.latency_objective = r.timeout + kMaxObjectiveExcess - kernel::milliseconds(1);
            }),
            0U);
  EXPECT_EQ(error_count([](route& r) { r.path_prefix = "/a"; }), 1U);
  EXPECT_EQ(error_count([](route& r) { r.attempts = 0; }), 1U);
  EXPECT_EQ(error_count([](route& r) {
              r.service = {};
              r.split = {{kernel::service_name("forms"), kernel::weight(0)}};
            }),
            1U);
  EXPECT_EQ(Validate(Table(1, {Route("h", "/a/"), Route("h", "/a/")})).size(), 1U);
  EXPECT_EQ(Validate(Table(0, {Route("h", "/a/")})).size(), 1U);
}

// Guards against a change of one key that sends all workspaces to every daemon.
TEST(Policy, ADeltaCarriesOnlyTheWorkspacesThatChanged) {
  policy_table one = Table(1, {Route("h", "/a/")});
  one.workspaces = {Workspace("w1", {"k1"}), Workspace("w2", {"k2"}), Workspace("w3", {"k3"})};
  policy_table two = one;
  two.version = kernel::policy_version(2);
  two.workspaces[1].keys.clear();
  const policy_delta delta = Diff(one, two);
  EXPECT_EQ(delta.workspaces.changed.size(), 1U);
  EXPECT_TRUE(delta.workspaces.inserted.empty());
  EXPECT_FALSE(delta.workspaces.order);
  EXPECT_EQ(Apply(one, delta), two);
}

// Guards against a key that admits callers of two workspaces, and against a key in an error text.
TEST(Policy, RejectsAKeyThatTwoWorkspacesHold) {
  policy_table table = Table(1, {Route("h", "/a/")});
  table.workspaces = {Workspace("w1", {"secret"}), Workspace("w2", {"other"})};
  EXPECT_TRUE(Validate(table).empty());
  table.workspaces[1].keys.emplace_back("secret");
  const std::vector<std::string> errors = Validate(table);
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors.front().find("secret"), std::string::npos);
}

// Guards against access without a key, with a withdrawn key, and against telling callers without a
// key which routes exist.
TEST(Policy, ResolvesARequestByItsKey) {
  using kind = resolved_request::kind;
  policy_table table = Table(1, {Route("h", "/a/"), Route("h", "/open/")});
  table.routes[0].priority = 3;
  table.routes[1].public_access = true;
  table.workspaces = {Workspace("w1", {"k1"}), Workspace("w2", {"k2"})};
  table.workspaces[1].priority = 1;
  const request_resolver resolver(std::make_shared<policy_table>(table), 5);
  EXPECT_EQ(resolver.Resolve("h", "/a/1", "k1").workspace->name, kernel::workspace_id("w1"));
  EXPECT_EQ(resolver.Resolve("h", "/a/1", "k1").priority(), 3);
  EXPECT_EQ(resolver.Resolve("h", "/a/1", "k2").priority(), 1) << "the priority of the workspace";
  EXPECT_EQ(resolver.Resolve("h", "/a/1", "").outcome, kind::kUnauthenticated);
  EXPECT_EQ(resolver.Resolve("h", "/a/1", "k").outcome, kind::kUnauthenticated);
  EXPECT_EQ(resolver.Resolve("h", "/none/", "").outcome, kind::kUnauthenticated);
  EXPECT_EQ(resolver.Resolve("h", "/none/", "k1").outcome, kind::kNoRoute);
  EXPECT_EQ(resolver.Resolve("h", "/open/1", "").outcome, kind::kRouted);
  EXPECT_EQ(resolver.Resolve("h", "/open/1", "").workspace, nullptr);

  table.workspaces[0].keys.clear();
  const request_resolver later(std::make_shared<policy_table>(table), 5);
  EXPECT_EQ(later.Resolve("h", "/a/1", "k1").outcome, kind::kUnauthenticated) << "withdrawn";
  table.workspaces.clear();
  const request_resolver without(std::make_shared<policy_table>(table), 5);
  EXPECT_EQ(without.Resolve("h", "/a/1", "").outcome, kind::kRouted);
}

// Guards against matching a route of another host, or a shorter prefix than possible.
TEST(Policy, MatchesTheLongestPrefixOfTheHost) {
  const policy_table table =
      Table(1, {Route("a.example", "/x/"), Route("a.example", "/x/y/"), Route("b.example", "/")});
  const route_index index(table);
  EXPECT_EQ(index.Match("a.example", "/x/1")->path_prefix, "/x/");
  EXPECT_EQ(index.Match("A.Example:80", "/x/y/1")->path_prefix, "/x/y/");
  EXPECT_EQ(index.Match("a.example", "/x"), nullptr);
  EXPECT_EQ(index.Match("b.example", "/x/1")->path_prefix, "/");
  EXPECT_EQ(index.Match("c.example", "/x/1"), nullptr);
}

}  // namespace
}  // namespace cornelweir::policy
