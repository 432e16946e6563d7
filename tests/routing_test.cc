#include "cornelweir/routing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cornelweir/table.h"

namespace cornelweir::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const kernel::time_point kStart{seconds(1000)};
const kernel::service_name kForms("forms");
const kernel::failure_domain kOwnDomain("a");
const kernel::failure_domain kOtherDomain("b");

table::row_map Rows(const std::map<std::string, int>& weights) {
  table::row_map rows;
  const kernel::limit_name limit("standard");
  const kernel::wait_name wait("short");
  rows[table::KeyOf(limit)] = table::limit_row{};
  rows[table::KeyOf(wait)] = table::wait_row{2000, 200};
  rows[table::KeyOf(kForms)] = table::service_row{limit, wait, {}};
  for (const auto& [subset, weight] : weights) {
    rows[table::SplitKey(kForms, kernel::subset_name(subset))] =
        table::split_row{kernel::weight(weight)};
  }
  return rows;
}

void AddRoute(table::row_map& rows, const std::string& name, const std::string& prefix) {
  rows[{table::row_kind::kRoute, name}] = table::route_row{prefix, kForms, false};
}

upstream_candidate Candidate(const std::string& id, const std::string& subset = "v1",
                             const kernel::failure_domain& domain = kOwnDomain) {
  upstream_candidate candidate;
  candidate.id = kernel::upstream_id(id);
  candidate.service = kForms;
  candidate.subset = kernel::subset_name(subset);
  candidate.domain = domain;
  candidate.slots = kernel::request_count(20);
  candidate.incarnation = kernel::incarnation(1);
  return candidate;
}

TEST(RouteIndex, FindsTheLongestPrefixAtASegmentBoundary) {
  table::row_map rows = Rows({{"v1", 1}});
  AddRoute(rows, "forms", "/forms");
  AddRoute(rows, "drafts", "/forms/drafts/");
  const route_index index(rows);
  EXPECT_EQ(index.Find("/forms/drafts/7?x=/y")->name, kernel::route_name("drafts"));
  EXPECT_EQ(index.Find("/forms/drafts")->name, kernel::route_name("drafts"));
  EXPECT_EQ(index.Find("/forms/draftsmen")->name, kernel::route_name("forms"));
  EXPECT_EQ(index.Find("/forms?drafts")->wait.queue_ms, 200);
  EXPECT_EQ(index.Find("/formsheet"), nullptr);
  EXPECT_EQ(index.Find("forms"), nullptr);
  EXPECT_EQ(index.Find(""), nullptr);
  EXPECT_EQ(index.Find("/forms/drafts/" + std::string(100'000, 'x'))->name,
            kernel::route_name("drafts"));
  // Guards against a path that is cut inside a segment matching the longest possible prefix.
  const std::string longest = "/" + std::string(table::kMaxPathPrefixBytes - 1, 'x');
  AddRoute(rows, "longest", longest);
  const route_index extended(rows);
  EXPECT_EQ(extended.Find(longest + "/y")->name, kernel::route_name("longest"));
  EXPECT_EQ(extended.Find(longest + "y"), nullptr);
}

// Guards against the lookup by shortened paths differing from a comparison with every prefix.
RC_GTEST_PROP(RouteIndex, AgreesWithALinearScan, ()) {
  const auto path_of =
      rc::gen::map(rc::gen::container<std::string>(rc::gen::element('/', 'x', 'y')),
                   [](const std::string& text) { return "/" + text; });
  const auto prefixes = *rc::gen::container<std::vector<std::string>>(path_of);
  const std::string path = *path_of;
  table::row_map rows = Rows({{"v1", 1}});
  std::size_t longest = 0;
  for (std::size_t i = 0; i < prefixes.size(); ++i) {
    AddRoute(rows, std::to_string(i), prefixes[i]);
    const std::string trimmed = prefixes[i].substr(0, prefixes[i].find_last_not_of('/') + 1);
    if ((path + "/").starts_with(trimmed + "/")) longest = std::max(longest, trimmed.size() + 1);
  }
  const route_index index(rows);
  const route_match* match = index.Find(path);
  RC_ASSERT((match != nullptr) == (longest > 0));
  if (match == nullptr) return;
  const std::string& prefix = match->route.path_prefix;
  RC_ASSERT(prefix.find_last_not_of('/') + 2 == longest);
}

// A balancer with a simulated clock and a seeded random source.
// NOLINTNEXTLINE(readability-identifier-naming)
class BalancerTest : public testing::Test {
 protected:
  void Update(const std::vector<upstream_candidate>& candidates,
              const std::map<std::string, int>& weights = {{"v1", 1}}) {
    balancer_.Update(Rows(weights), candidates, now_);
  }
  std::string Pick(const std::vector<kernel::upstream_id>& exclude = {}) {
    const auto pick = balancer_.Pick(kForms, exclude, now_, random_);
    return pick ? pick->value() : "";
  }
  std::map<std::string, int> Picks(int count) {
    std::map<std::string, int> picks;
    for (int i = 0; i < count; ++i) ++picks[Pick()];
    return picks;
  }
  void Start(const std::string& id, int count = 1) {
    for (int i = 0; i < count; ++i) balancer_.OnStart(kernel::upstream_id(id), now_);
  }
  void Finish(const std::string& id, finish_kind kind,
              kernel::microseconds latency = milliseconds(5)) {
    balancer_.OnFinish(kernel::upstream_id(id), kind, latency, now_);
  }
  void Run(const std::string& id, finish_kind kind, int count = 1,
           kernel::microseconds latency = milliseconds(5)) {
    for (int i = 0; i < count; ++i) {
      Start(id);
      Finish(id, kind, latency);
    }
  }
  bool IsEjected(const std::string& id) { return balancer_.IsEjected(kernel::upstream_id(id)); }

  kernel::time_point now_ = kStart;
  kernel::seeded_random random_{7};
  balancer balancer_{kOwnDomain};
};

TEST_F(BalancerTest, DividesTrafficByWeightAmongSubsetsWithUsableMembers) {
  std::vector<upstream_candidate> members = {Candidate("u1"), Candidate("u2"),
                                             Candidate("u3", "v2"), Candidate("u4", "v3")};
  const std::map<std::string, int> weights = {{"v1", 80}, {"v2", 20}, {"v3", 0}, {"v4", 900}};
  Update(members, weights);
  auto picks = Picks(10'000);
  EXPECT_NEAR(picks["u1"], 4000, 300);
  EXPECT_NEAR(picks["u3"], 2000, 200);
  EXPECT_EQ(picks["u4"], 0);
  members[2].draining = true;
  Update(members, weights);
  picks = Picks(1000);
  EXPECT_EQ(picks["u1"] + picks["u2"], 1000);
  EXPECT_EQ(Pick({kernel::upstream_id("u1"), kernel::upstream_id("u2")}), "");
}

TEST_F(BalancerTest, PrefersTheOwnFailureDomainUntilItsMembersAreLoaded) {
  Update({Candidate("near"), Candidate("far", "v1", kOtherDomain)});
  EXPECT_EQ(Picks(100)["near"], 100);
  Start("near", 13);
  EXPECT_EQ(Picks(100)["near"], 100);
  Start("near");
  EXPECT_EQ(Picks(100)["far"], 100);
  for (int i = 0; i < 14; ++i) Finish("near", finish_kind::kSuccess);
  EXPECT_EQ(Picks(100)["near"], 100);
  Run("near", finish_kind::kRefused);
  EXPECT_GT(Picks(100)["far"], 20);
  now_ += seconds(6);
  EXPECT_EQ(Picks(100)["near"], 100);
}

TEST_F(BalancerTest, PrefersTheLessLoadedAndTheFaster) {
  Update({Candidate("u1"), Candidate("u2")});
  Start("u1", 10);
  EXPECT_EQ(Picks(100)["u2"], 100);
  for (int i = 0; i < 10; ++i) Finish("u1", finish_kind::kSuccess);
  Run("u1", finish_kind::kSuccess, 20, milliseconds(9));
  Run("u2", finish_kind::kSuccess, 20, milliseconds(5));
  EXPECT_EQ(Picks(100)["u2"], 100);
  // An old latency no longer counts.
  now_ += kMaxLatencyAge;
  EXPECT_GT(Picks(100)["u1"], 20);
}

TEST_F(BalancerTest, NewIncarnationGetsASlowStart) {
  std::vector<upstream_candidate> members = {Candidate("u1"), Candidate("u2"), Candidate("u3"),
                                             Candidate("u4")};
  Update(members);
  EXPECT_GT(Picks(1000)["u1"], 150);
  members[0].incarnation = kernel::incarnation(2);
  Update(members);
  EXPECT_LT(Picks(1000)["u1"], 90);
  now_ += kSlowStartDuration / 2;
  EXPECT_GT(Picks(1000)["u1"], 90);
  now_ += kSlowStartDuration / 2;
  EXPECT_GT(Picks(1000)["u1"], 150);
}

// Guards against ejection before the threshold of failures, traffic to an ejected upstream, and
// more than one probe request at a time.
TEST_F(BalancerTest, ProbesAfterAnEjectionAndDoublesTheNextOne) {
  Update({Candidate("u1"), Candidate("u2"), Candidate("u3")});
  Run("u1", finish_kind::kFailure, kConsecutiveFailureThreshold - 1);
  EXPECT_FALSE(IsEjected("u1"));
  Run("u1", finish_kind::kFailure);
  for (kernel::microseconds ejection = kBaseEjectionTime; ejection <= 4 * kBaseEjectionTime;
       ejection *= 2) {
    EXPECT_TRUE(IsEjected("u1"));
    EXPECT_EQ(Picks(200)["u1"], 0);
    now_ += ejection - milliseconds(1);
    EXPECT_EQ(Picks(200)["u1"], 0);
    now_ += milliseconds(1);
    EXPECT_GT(Picks(200)["u1"], 0);
    Start("u1");
    EXPECT_EQ(Picks(200)["u1"], 0);
    Finish("u1", finish_kind::kFailure);
  }
  now_ += 8 * kBaseEjectionTime;
  for (int i = 0; i < kProbesToRecover; ++i) {
    EXPECT_TRUE(IsEjected("u1"));
    EXPECT_GT(Picks(200)["u1"], 0);
    Run("u1", finish_kind::kSuccess);
  }
  EXPECT_FALSE(IsEjected("u1"));
}

TEST_F(BalancerTest, EjectsAnUpstreamThatFailsHalfOfItsRequests) {
  Update({Candidate("u1"), Candidate("u2"), Candidate("u3")});
  for (int i = 0; i < 5; ++i) {
    Run("u1", finish_kind::kSuccess);
    Run("u1", finish_kind::kFailure);
  }
  EXPECT_TRUE(IsEjected("u1"));
}

// Guards against ejecting the members one after another when the whole service fails.
TEST_F(BalancerTest, EjectsNoMemberWhileMostMembersFail) {
  const std::vector<std::string> ids = {"u1", "u2", "u3", "u4", "u5", "u6"};
  std::vector<upstream_candidate> members;
  members.reserve(ids.size());
  for (const auto& id : ids) members.push_back(Candidate(id));
  Update(members);
  for (int round = 0; round < 40; ++round) {
    for (std::size_t i = 0; i < 4; ++i) Run(ids[i], finish_kind::kFailure);
    now_ += milliseconds(200);
    if (round < kConsecutiveFailureThreshold) continue;
    for (const auto& id : ids) EXPECT_FALSE(IsEjected(id)) << id << " in round " << round;
  }
  // Once most members work again, one that fails is ejected.
  for (std::size_t i = 1; i < 4; ++i) Run(ids[i], finish_kind::kSuccess, 60);
  Run("u1", finish_kind::kFailure);
  EXPECT_TRUE(IsEjected("u1"));
}

// Guards against a subset with more ejected members than the limit after it has shrunk.
TEST_F(BalancerTest, ReadmitsAnEjectedMemberWhenTheSubsetShrinks) {
  std::vector<upstream_candidate> members = {Candidate("u1"), Candidate("u2"), Candidate("u3")};
  Update(members);
  Run("u1", finish_kind::kFailure, kConsecutiveFailureThreshold);
  EXPECT_TRUE(IsEjected("u1"));
  // An update of the membership must not discard observations.
  Update(members);
  EXPECT_TRUE(IsEjected("u1"));
  members[2].draining = true;
  Update(members);
  EXPECT_FALSE(IsEjected("u1"));
}

// Guards against requests going to a daemon that refuses connections while others accept them.
TEST_F(BalancerTest, AvoidsUnreachableMembersUnlessThereAreNoOthers) {
  Update({Candidate("u1"), Candidate("u2", "v2")}, {{"v1", 50}, {"v2", 50}});
  Run("u1", finish_kind::kUnreachable);
  EXPECT_EQ(Picks(100)["u2"], 100);
  Run("u2", finish_kind::kUnreachable);
  EXPECT_GT(Picks(100)["u1"], 20);
  now_ += kMinUnreachableBackoff;
  Run("u2", finish_kind::kUnreachable);
  now_ += kMinUnreachableBackoff;
  EXPECT_EQ(Picks(100)["u1"], 100);
}

// Guards against counting failures of requests to a crashed process against the process that
// replaced it.
TEST_F(BalancerTest, FailuresOfAnEarlierIncarnationDoNotCount) {
  std::vector<upstream_candidate> members = {Candidate("u1"), Candidate("u2"), Candidate("u3")};
  Update(members);
  Start("u1", kConsecutiveFailureThreshold);
  members[0].incarnation = kernel::incarnation(2);
  Update(members);
  for (int i = 0; i < kConsecutiveFailureThreshold; ++i) Finish("u1", finish_kind::kFailure);
  EXPECT_FALSE(IsEjected("u1"));
  Run("u1", finish_kind::kFailure, kConsecutiveFailureThreshold);
  EXPECT_TRUE(IsEjected("u1"));
}

// Guards, for random sequences of calls, against picks of draining, excluded or busy ejected
// members, too many ejected members, and wrong counts of requests in progress.
RC_GTEST_PROP(Balancer, PicksOnlyUsableMembersAndLimitsEjections, ()) {
  constexpr std::uint32_t kMembers = 7;
  balancer tested_balancer(kOwnDomain);
  kernel::seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
  std::vector<upstream_candidate> announced;
  std::map<kernel::upstream_id, std::int64_t> in_progress;
  kernel::time_point now = kStart;
  const auto schedule =
      *rc::gen::container<std::vector<std::uint32_t>>(400, rc::gen::inRange(0U, 1U << 30));
  for (const std::uint32_t step : schedule) {
    const std::uint32_t value = step / 32;
    if (step % 32 == 0 || announced.empty()) {
      announced.clear();
      for (std::uint32_t i = 0; i < kMembers; ++i) {
        if ((value >> i) % 4 == 0) continue;
        auto candidate = Candidate("u" + std::to_string(i), i < 5 ? "v1" : "v2",
                                   i % 2 == 0 ? kOwnDomain : kOtherDomain);
        candidate.draining = (value >> (i + 7)) % 4 == 0;
        candidate.incarnation = kernel::incarnation(1 + ((value >> i) % 16 == 15 ? step : 0));
        candidate.slots = kernel::request_count((value >> (2 * i)) % 8);
        announced.push_back(candidate);
      }
      tested_balancer.Update(Rows({{"v1", 70}, {"v2", 30}}), announced, now);
    } else if (step % 32 < 16) {
      const std::vector<kernel::upstream_id> exclude = {
          kernel::upstream_id("u" + std::to_string(value % kMembers))};
      const auto pick = tested_balancer.Pick(kForms, exclude, now, random);
      if (!pick) continue;
      const upstream_candidate* picked = tested_balancer.Find(*pick);
      RC_ASSERT(picked != nullptr);
      RC_ASSERT(!picked->draining && picked->slots.value() > 0 && *pick != exclude[0]);
      RC_ASSERT(!tested_balancer.IsEjected(*pick) || in_progress[*pick] == 0);
      tested_balancer.OnStart(*pick, now);
      ++in_progress[*pick];
    } else {
      const kernel::upstream_id id("u" + std::to_string(value % kMembers));
      // Members with lower numbers fail more often.
      const bool fails = value / 8 % kMembers >= value % kMembers;
      if (in_progress[id] == 0) continue;
      --in_progress[id];
      tested_balancer.OnFinish(id, fails ? finish_kind::kFailure : finish_kind::kSuccess,
                               milliseconds(5), now);
      now += milliseconds(value / 64 % 100);
    }
    std::map<std::string, std::pair<std::size_t, std::size_t>> counts;
    for (const upstream_candidate& candidate : announced) {
      RC_ASSERT(tested_balancer.InProgress(candidate.id).value() == in_progress[candidate.id]);
      if (candidate.draining) continue;
      auto& [members, ejected] = counts[candidate.subset.value()];
      ++members;
      if (tested_balancer.IsEjected(candidate.id)) ++ejected;
    }
    for (const auto& [subset, count] : counts) RC_ASSERT(3 * count.second <= count.first);
  }
}

}  // namespace
}  // namespace cornelweir::routing
