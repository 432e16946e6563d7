// A group of control hosts that grows, and replaces lost voters, by itself.

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "cornelweir/replication.h"

namespace cornelweir::replication {
namespace {

kernel::host_id Host(int number) { return kernel::host_id("h" + std::to_string(number)); }

constexpr std::size_t kWanted = VotersToTolerate(2);
constexpr kernel::microseconds kSilent = kReplaceVoterAfter;

group_configuration Group(int voters, int learners = 0) {
  group_configuration group;
  for (int i = 0; i < voters; ++i) group.voters.push_back(Host(i));
  for (int i = 0; i < learners; ++i) group.learners.push_back(Host(voters + i));
  return group;
}

// Guards against a founder that stays alone.
TEST(GroupKeeper, TakesApplicantsInAndPromotesThemWhenTheyAreCaughtUp) {
  const auto joined = NextConfiguration(Group(1), {}, {Host(1)}, kWanted);
  ASSERT_TRUE(joined);
  EXPECT_EQ(joined->learners, std::vector{Host(1)});
  EXPECT_FALSE(NextConfiguration(*joined, {{Host(1), {}, false}}, {Host(1)}, kWanted));
  const auto promoted = NextConfiguration(*joined, {{Host(1), {}, true}}, {}, kWanted);
  ASSERT_TRUE(promoted);
  EXPECT_EQ(promoted->voters.size(), 2U);
  EXPECT_TRUE(promoted->learners.empty());
}

// Guards against a voter that is given up although nobody can take its place.
TEST(GroupKeeper, ReplacesASilentVoterOnlyByAReadyLearner) {
  const std::vector<peer_status> silent{{Host(4), kSilent, true}};
  EXPECT_FALSE(NextConfiguration(Group(5), silent, {}, kWanted));
  std::vector<peer_status> with_learner = silent;
  with_learner.push_back({Host(5), {}, true});
  const auto removed = NextConfiguration(Group(5, 1), with_learner, {}, kWanted);
  ASSERT_TRUE(removed);
  EXPECT_EQ(removed->voters.size(), 4U);
  EXPECT_FALSE(IsVoter(*removed, Host(4)));
  const auto promoted = NextConfiguration(*removed, {{Host(5), {}, true}}, {}, kWanted);
  ASSERT_TRUE(promoted);
  EXPECT_TRUE(IsVoter(*promoted, Host(5)));
}

// Guards against a voter that loses its place in an ordinary restart.
TEST(GroupKeeper, KeepsAVoterThatIsSilentForAMoment) {
  const std::vector<peer_status> peers{{Host(4), kSilent - kernel::microseconds(1), true},
                                       {Host(5), {}, true}};
  EXPECT_FALSE(NextConfiguration(Group(5, 1), peers, {}, kWanted));
}

// Guards against a second promotion of a host that the log itself repairs.
TEST(GroupKeeper, LeavesAVoterWithAReplacedDiskToTheLog) {
  group_configuration group = Group(4, 1);
  group.disks.push_back({Host(4), kernel::disk_id(7), true});
  EXPECT_FALSE(NextConfiguration(group, {{Host(4), {}, true}}, {}, kWanted));
}

// Guards against a step that changes two voters at once: two majorities might not meet.
TEST(GroupKeeper, ChangesAtMostOneVoterAStep) {
  EXPECT_TRUE(rc::check([] {
    const int voters = *rc::gen::inRange(1, 8);
    const int learners = *rc::gen::inRange(0, 4);
    const group_configuration before = Group(voters, learners);
    std::vector<peer_status> peers;
    for (int i = 1; i < voters + learners; ++i) {
      peers.push_back({Host(i), kernel::milliseconds(*rc::gen::inRange(0, 12'000)),
                       *rc::gen::arbitrary<bool>()});
    }
    std::set<kernel::host_id> applicants;
    if (*rc::gen::arbitrary<bool>()) applicants.insert(Host(*rc::gen::inRange(0, 15)));
    const auto after = NextConfiguration(before, peers, applicants, kWanted);
    if (!after) return;
    RC_ASSERT(*after != before);
    std::size_t changes = 0;
    for (const auto& host : before.voters) changes += IsVoter(*after, host) ? 0 : 1;
    for (const auto& host : after->voters) changes += IsVoter(before, host) ? 0 : 1;
    RC_ASSERT(changes <= 1U);
    RC_ASSERT(IsVoter(*after, Host(0)));
  }));
}

}  // namespace
}  // namespace cornelweir::replication
