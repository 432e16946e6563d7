// Tests the list of daemons that a control host knows of.

#include <gtest/gtest.h>

#include "cornelweir/membership.h"

namespace cornelweir::membership {
namespace {

constexpr kernel::time_point kStart{std::chrono::seconds(100)};

roster_entry Entry(std::uint64_t incarnation, std::uint64_t sequence, const char* service = "a") {
  roster_entry entry;
  entry.daemon = kernel::endpoint("10.0.0.1:80");
  entry.service = kernel::service_name(service);
  entry.incarnation = kernel::incarnation(incarnation);
  entry.sequence = sequence;
  return entry;
}

// Guards against delayed reports that overwrite newer ones.
TEST(Roster, KeepsTheNewestReport) {
  roster daemons;
  daemons.RecordReport(Entry(5, 2, "b"), kStart);
  EXPECT_EQ(daemons.RecordReport(Entry(5, 1, "a"), kStart), kernel::incarnation());
  EXPECT_EQ(daemons.Find(Entry(0, 0).daemon)->service, kernel::service_name("b"));
}

// Guards against ignoring a daemon because its clock was set back before it restarted.
TEST(Roster, ReturnsTheIncarnationThatADaemonMustExceed) {
  roster daemons;
  daemons.RecordReport(Entry(5, 9), kStart);
  EXPECT_EQ(daemons.RecordReport(Entry(4, 10), kStart), kernel::incarnation(5));
  EXPECT_EQ(daemons.RecordReport(Entry(6, 1), kStart), kernel::incarnation());
}

// Guards against forwarding heartbeats without changes to every daemon.
TEST(Roster, RevisionChangesOnlyIfAnEntryChanges) {
  roster daemons;
  daemons.RecordReport(Entry(5, 1), kStart);
  const std::uint64_t revision = daemons.revision();
  daemons.RecordReport(Entry(5, 2), kStart);
  EXPECT_EQ(daemons.revision(), revision);
  EXPECT_EQ(daemons.ChangesSince(0).present.size(), 1U);
  EXPECT_TRUE(daemons.ChangesSince(revision).present.empty());
}

// Guards against listing daemons that are gone.
TEST(Roster, DropsDaemonsThatLeaveOrStopReporting) {
  roster daemons;
  daemons.RecordReport(Entry(5, 1), kStart);
  roster_entry leaving = Entry(5, 2);
  leaving.leaving = true;
  daemons.RecordReport(leaving, kStart);
  EXPECT_EQ(daemons.size(), 0U);
  EXPECT_EQ(daemons.ChangesSince(1).gone.size(), 1U);
  daemons.RecordReport(Entry(6, 1), kStart);
  EXPECT_EQ(daemons.size(), 1U);
  daemons.Expire(kStart + kDaemonLease + kernel::milliseconds(1));
  EXPECT_EQ(daemons.size(), 0U);
  daemons.RecordReport(Entry(6, 2), kStart + kDaemonLease + kernel::milliseconds(2));
  EXPECT_EQ(daemons.size(), 1U);
}

// Guards against a daemon that restarts and uses an upstream that has announced its end: the first
// report of the new process must not erase what the earlier one reported.
TEST(Roster, KeepsTheUpstreamOfADaemonThatRestarts) {
  roster daemons;
  roster_entry before = Entry(5, 1);
  before.upstream =
      announced_upstream{kernel::upstream_id("u1"), kernel::incarnation(3), 9, 6, true};
  daemons.RecordReport(before, kStart);
  daemons.RecordReport(Entry(6, 1), kStart);
  EXPECT_EQ(daemons.Find(before.daemon)->upstream, before.upstream);
  roster_entry replaced = Entry(6, 2);
  replaced.upstream = announced_upstream{kernel::upstream_id("u2"), kernel::incarnation(4), 1, 6};
  daemons.RecordReport(replaced, kStart);
  EXPECT_EQ(daemons.Find(before.daemon)->upstream, replaced.upstream);
}

// Guards against a rollout that is completed while a daemon of its service is not asked.
TEST(Roster, ListsTheDaemonsOfAService) {
  roster daemons;
  daemons.RecordReport(Entry(5, 1, "a"), kStart);
  EXPECT_EQ(daemons.EntriesOf(kernel::service_name("a")).size(), 1U);
  EXPECT_TRUE(daemons.EntriesOf(kernel::service_name("b")).empty());
  daemons.Expire(kStart + kDaemonLease + kernel::milliseconds(1));
  EXPECT_TRUE(daemons.EntriesOf(kernel::service_name("a")).empty());
}

// Guards against sending the state of every upstream to every daemon.
TEST(Roster, ChangesOmitTheUpstream) {
  roster daemons;
  roster_entry entry = Entry(5, 1);
  entry.upstream = announced_upstream{kernel::upstream_id("u1"), kernel::incarnation(3), 9, 6};
  daemons.RecordReport(entry, kStart);
  const std::uint64_t revision = daemons.revision();
  entry.sequence = 2;
  entry.upstream->sequence = 10;
  daemons.RecordReport(entry, kStart);
  EXPECT_EQ(daemons.revision(), revision);
  ASSERT_EQ(daemons.ChangesSince(0).present.size(), 1U);
  EXPECT_FALSE(daemons.ChangesSince(0).present[0].upstream);
}

}  // namespace
}  // namespace cornelweir::membership
