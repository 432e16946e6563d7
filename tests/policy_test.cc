// Policies that are replaced as a whole: deltas, validation, and the search for a route.

#include "cornelweir/policy.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace cornelweir::policy {
namespace {

route Route(const std::string& host, const std::string& prefix, int timeout_ms = 800) {
  route made;
  made.name = kernel::route_name("r" + prefix);
  made.host = host;
  made.path_prefix = prefix;
  made.route_type = route_type::kIdempotent;
  made.timeout = kernel::milliseconds(timeout_ms);
  made.latency_objective = kernel::milliseconds(300);
  made.service = kernel::service_name("forms");
  return made;
}

policy_table Table(std::uint64_t version, std::vector<route> routes) {
  policy_table table;
  table.version = kernel::policy_version(version);
  table.services = {{kernel::service_name("forms"), "/health", 100, "h1", false}};
  table.routes = std::move(routes);
  return table;
}

// Guards against a daemon that ends with another policy than the one that was accepted.
TEST(Policy, ADeltaTurnsAnyTableIntoAnyOther) {
  EXPECT_TRUE(rc::check([] {
    const auto some_routes = [] {
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
    const policy_table from = Table(3, some_routes());
    policy_table to = Table(7, some_routes());
    if (*rc::gen::arbitrary<bool>()) to.limits.max_body_bytes = 5;
    const auto applied = Apply(from, Diff(from, to));
    RC_ASSERT(applied.has_value());
    RC_ASSERT(*applied == to);
  }));
}

// Guards against deltas that list every route: operators add routes in the middle of their table,
// and each change would then send the whole order to every daemon.
TEST(Policy, SendsNoOrderForARouteAddedInTheMiddle) {
  const policy_table one = Table(1, {Route("a", "/x/"), Route("b", "/x/"), Route("c", "/x/")});
  const policy_table two =
      Table(2, {Route("a", "/x/"), Route("a", "/y/"), Route("c", "/x/"), Route("d", "/x/")});
  const policy_delta delta = Diff(one, two);
  EXPECT_FALSE(delta.order);
  EXPECT_TRUE(delta.changed.empty());
  EXPECT_EQ(delta.inserted.size(), 2U);
  EXPECT_EQ(Apply(one, delta), two);
}

// Guards against a malformed delta in force.
TEST(Policy, RefusesADeltaThatChangesOrPlacesWhatDoesNotFit) {
  const policy_table one = Table(1, {Route("a", "/x/")});
  policy_delta delta;
  delta.base = one.version;
  delta.version = kernel::policy_version(2);
  delta.changed = {Route("b", "/x/")};
  EXPECT_FALSE(Apply(one, delta)) << "changes a route that the base lacks";
  delta.changed.clear();
  delta.inserted = {{7, Route("b", "/x/")}};
  EXPECT_FALSE(Apply(one, delta)) << "a position beyond the end";
}

// Guards against a delta that is applied to what it was not made for.
TEST(Policy, RefusesADeltaWithAnotherBase) {
  const policy_table one = Table(1, {Route("h", "/a/")});
  const policy_table two = Table(2, {Route("h", "/b/")});
  policy_delta delta = Diff(one, two);
  EXPECT_FALSE(Apply(two, delta));
  delta.base = two.version;
  EXPECT_FALSE(Apply(two, delta)) << "removes a route that the base lacks";
}

// Guards against an invalid policy in force.
TEST(Policy, NamesEachFault) {
  EXPECT_TRUE(Validate(Table(1, {Route("h", "/a/")})).empty());
  const auto faulty = [](auto change) {
    route changed = Route("h", "/a/");
    change(changed);
    return Validate(Table(1, {changed})).size();
  };
  EXPECT_EQ(faulty([](route& r) { r.service = kernel::service_name("nobody"); }), 1U);
  EXPECT_EQ(faulty([](route& r) { r.timeout = kMaxTimeout + kernel::milliseconds(1); }), 1U);
  EXPECT_EQ(faulty([](route& r) { r.latency_objective = r.timeout + kMaxObjectiveExcess; }), 1U);
  EXPECT_EQ(faulty([](route& r) {
              r.latency_objective = r.timeout + kMaxObjectiveExcess - kernel::milliseconds(1);
            }),
            0U);
  EXPECT_EQ(faulty([](route& r) { r.path_prefix = "/a"; }), 1U);
  EXPECT_EQ(faulty([](route& r) { r.attempts = 0; }), 1U);
  EXPECT_EQ(faulty([](route& r) {
              r.service = {};
              r.split = {{kernel::service_name("forms"), kernel::weight(0)}};
            }),
            1U);
  EXPECT_EQ(Validate(Table(1, {Route("h", "/a/"), Route("h", "/a/")})).size(), 1U);
  EXPECT_EQ(Validate(Table(0, {Route("h", "/a/")})).size(), 1U);
}

// Guards against requests that take another host's route, or a shorter prefix.
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
