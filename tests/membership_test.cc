#include "cornelweir/membership.h"

#include <gtest/gtest.h>

#include <string>

namespace cornelweir::membership {
namespace {

using kernel::incarnation;
using kernel::membership_revision;
using kernel::service_name;
using kernel::upstream_id;

upstream_record Record(const std::string& id, std::uint64_t started,
                       upstream_state state = upstream_state::kReady) {
  upstream_record record;
  record.id = upstream_id(id);
  record.service = service_name("forms");
  record.subset = kernel::subset_name("v1");
  record.host = kernel::host_id("host-" + id);
  record.daemon_data = kernel::endpoint("127.0.0.1:1");
  record.slots = kernel::request_count(20);
  record.incarnation = incarnation(started);
  record.state = state;
  return record;
}

// Guards against a delayed announcement that adds a process which is gone or was replaced.
TEST(MemberTable, RefusesOlderIncarnationsAlsoOfDepartedUpstreams) {
  member_table table;
  EXPECT_EQ(table.Announce(Record("a", 5), membership_revision(1)).outcome,
            announce_outcome::kAccepted);
  const announce_result older = table.Announce(Record("a", 4), membership_revision(2));
  EXPECT_EQ(older, (announce_result{announce_outcome::kRefused, incarnation(5)}));
  EXPECT_TRUE(table.Leave(upstream_id("a"), incarnation(5), membership_revision(3)));
  const announce_result departed = table.Announce(Record("a", 5), membership_revision(4));
  EXPECT_EQ(departed, (announce_result{announce_outcome::kRefused, incarnation(6)}));
  EXPECT_TRUE(table.members().empty());
  EXPECT_EQ(table.Announce(Record("a", 6), membership_revision(5)).outcome,
            announce_outcome::kAccepted);
}

// Guards against a delayed "ready" that routes new requests to a draining upstream.
TEST(MemberTable, RefusesAnEarlierStateWithinAnIncarnation) {
  member_table table;
  table.Announce(Record("a", 5, upstream_state::kDraining), membership_revision(1));
  EXPECT_EQ(table.Announce(Record("a", 5), membership_revision(2)).outcome,
            announce_outcome::kRefused);
  EXPECT_EQ(table.Announce(Record("a", 6), membership_revision(3)).outcome,
            announce_outcome::kAccepted);
}

// Guards against accepting an old incarnation because its tombstone was dropped.
TEST(MemberTable, RefusesOldIncarnationsAfterTombstonesAreDropped) {
  member_table table;
  std::uint64_t revision = 0;
  for (std::size_t index = 0; index <= kMaxTombstones; ++index) {
    table.Leave(upstream_id("u" + std::to_string(index)), incarnation(100 + index),
                membership_revision(++revision));
  }
  EXPECT_EQ(table.Snapshot().tombstones.size(), kMaxTombstones);
  EXPECT_EQ(table.Announce(Record("u0", 100), membership_revision(++revision)).needed,
            incarnation(101));
}

TEST(MemberTable, SnapshotKeepsTheStateThatLaterAnnouncementsDependOn) {
  member_table table;
  table.Announce(Record("a", 5), membership_revision(1));
  table.Announce(Record("b", 7), membership_revision(2));
  table.Leave(upstream_id("b"), incarnation(7), membership_revision(3));
  member_table restored;
  restored.Restore(table.Snapshot());
  EXPECT_EQ(restored.Snapshot(), table.Snapshot());
  EXPECT_EQ(restored.revision(), membership_revision(3));
  EXPECT_EQ(restored.Announce(Record("b", 7), membership_revision(4)).outcome,
            announce_outcome::kRefused);
  EXPECT_FALSE(restored.ChangesSince(membership_revision(2), {service_name("forms")}));
}

// Guards against an upstream that changed its service but stays listed in the old one.
TEST(MemberTable, ReturnsChangesOfTheRequestedServices) {
  member_table table;
  table.Announce(Record("a", 5), membership_revision(1));
  upstream_record moved = Record("a", 6);
  moved.service = service_name("intake");
  table.Announce(moved, membership_revision(2));
  const auto forms = table.ChangesSince(membership_revision(1), {service_name("forms")});
  ASSERT_TRUE(forms);
  EXPECT_EQ(*forms,
            (std::vector<member_change>{{upstream_id("a"), service_name("forms"), std::nullopt}}));
  const auto both =
      table.ChangesSince(membership_revision(1), {service_name("forms"), service_name("intake")});
  ASSERT_TRUE(both);
  EXPECT_EQ(*both, (std::vector<member_change>{{upstream_id("a"), service_name("intake"), moved}}));
}

// NOLINTNEXTLINE(readability-identifier-naming)
class LeaseTrackerTest : public ::testing::Test {
 protected:
  // Advances the clock in steps of 500 ms. The first `renewing` upstreams renew in each step.
  // Returns the leases that expired.
  std::vector<expired_lease> Run(kernel::milliseconds duration, int renewing) {
    std::vector<expired_lease> expired;
    for (kernel::milliseconds elapsed{0}; elapsed < duration;
         elapsed += kernel::milliseconds(500)) {
      clock_.Advance(kernel::milliseconds(500));
      for (int index = 0; index < renewing; ++index) {
        tracker_.Renew(upstream_id(std::to_string(index)), incarnation(1), clock_.Now());
      }
      for (const expired_lease& lease : tracker_.Expire(clock_.Now())) expired.push_back(lease);
    }
    return expired;
  }

  void SetUp() override {
    for (int index = 0; index < 9; ++index) {
      table_.Announce(Record(std::to_string(index), 1), membership_revision(index + 1));
    }
    tracker_.Restart(table_, clock_.Now());
  }

  kernel::manual_clock clock_;
  member_table table_;
  lease_tracker tracker_;
};

TEST_F(LeaseTrackerTest, ExpiresUpstreamsThatDoNotRenew) {
  EXPECT_TRUE(Run(kernel::milliseconds(4'500), 8).empty());
  const auto expired = Run(kernel::milliseconds(500), 8);
  ASSERT_EQ(expired.size(), 1U);
  EXPECT_EQ(expired[0], (expired_lease{upstream_id("8"), incarnation(1)}));
}

// Guards against removing most upstreams of a service because the link between the leader and many
// daemons failed.
TEST_F(LeaseTrackerTest, ExpiresAtMostAShareOfAServiceWithinALeaseTime) {
  EXPECT_EQ(Run(kernel::milliseconds(9'500), 1).size(), 3U);
  EXPECT_EQ(Run(kernel::milliseconds(5'000), 1).size(), 3U);
}

// Guards against keeping upstreams whose daemons are known to be gone because the share is used up.
TEST_F(LeaseTrackerTest, RefusedConnectionsDoNotCountAgainstTheShare) {
  for (int index = 1; index < 9; ++index) {
    tracker_.OnConnectionRefused(upstream_id(std::to_string(index)), incarnation(1));
  }
  EXPECT_EQ(Run(kernel::milliseconds(5'000), 1).size(), 8U);
}

// Guards against a leader that removes all upstreams after it was partitioned or paused.
TEST_F(LeaseTrackerTest, ExpiresNothingAfterAPartitionOrAPause) {
  EXPECT_TRUE(Run(kernel::milliseconds(60'000), 0).empty());
  clock_.Advance(kernel::milliseconds(60'000));
  EXPECT_TRUE(tracker_.Expire(clock_.Now()).empty());
  EXPECT_TRUE(Run(kernel::milliseconds(4'500), 9).empty());
}

TEST_F(LeaseTrackerTest, RefusesRenewalsOfOtherIncarnations) {
  EXPECT_FALSE(tracker_.Renew(upstream_id("1"), incarnation(2), clock_.Now()));
  EXPECT_FALSE(tracker_.Renew(upstream_id("new"), incarnation(1), clock_.Now()));
  EXPECT_TRUE(tracker_.Renew(upstream_id("1"), incarnation(1), clock_.Now()));
}

}  // namespace
}  // namespace cornelweir::membership
