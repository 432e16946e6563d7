// Which daemons a control host knows of.

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

// Guards against reports that arrive late and undo newer ones.
TEST(Roster, KeepsTheNewestReport) {
  roster known;
  known.RecordReport(Entry(5, 2, "b"), kStart);
  EXPECT_EQ(known.RecordReport(Entry(5, 1, "a"), kStart), kernel::incarnation());
  EXPECT_EQ(known.Find(Entry(0, 0).daemon)->service, kernel::service_name("b"));
}

// Guards against a daemon that is ignored because its clock was set back before it restarted.
TEST(Roster, TellsADaemonWhichIncarnationItMustExceed) {
  roster known;
  known.RecordReport(Entry(5, 9), kStart);
  EXPECT_EQ(known.RecordReport(Entry(4, 10), kStart), kernel::incarnation(5));
  EXPECT_EQ(known.RecordReport(Entry(6, 1), kStart), kernel::incarnation());
}

// Guards against heartbeats that are sent on to every daemon.
TEST(Roster, ChangesOnlyWithNews) {
  roster known;
  known.RecordReport(Entry(5, 1), kStart);
  const std::uint64_t revision = known.revision();
  known.RecordReport(Entry(5, 2), kStart);
  EXPECT_EQ(known.revision(), revision);
  EXPECT_EQ(known.ChangesSince(0).present.size(), 1U);
  EXPECT_TRUE(known.ChangesSince(revision).present.empty());
}

// Guards against daemons that are gone and stay in the list.
TEST(Roster, DropsDaemonsThatLeaveOrFallSilent) {
  roster known;
  known.RecordReport(Entry(5, 1), kStart);
  roster_entry leaving = Entry(5, 2);
  leaving.leaving = true;
  known.RecordReport(leaving, kStart);
  EXPECT_EQ(known.size(), 0U);
  EXPECT_EQ(known.ChangesSince(1).gone.size(), 1U);
  known.RecordReport(Entry(6, 1), kStart);
  EXPECT_EQ(known.size(), 1U);
  known.Expire(kStart + kDaemonLease + kernel::milliseconds(1));
  EXPECT_EQ(known.size(), 0U);
  known.RecordReport(Entry(6, 2), kStart + kDaemonLease + kernel::milliseconds(2));
  EXPECT_EQ(known.size(), 1U);
}

}  // namespace
}  // namespace cornelweir::membership
