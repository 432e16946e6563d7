// Tests the orders and steps of rollouts in the replicated state: resends, conflicts and snapshots.

#include <gtest/gtest.h>

#include "cornelweir/codec.h"
#include "cornelweir/control.h"

namespace cornelweir::control {
namespace {

const kernel::service_name kService("forms");

start_rollout_command Order(const char* version, std::uint64_t digest) {
  start_rollout_command order;
  order.service = kService;
  order.version = kernel::software_version(version);
  order.duration = kernel::milliseconds(12'000);
  order.order = kernel::order_digest(digest);
  order.released = {kernel::software_version("v1")};
  return order;
}

// Applies commands to a state machine at consecutive indexes of the log, one a second.
// NOLINTNEXTLINE(readability-identifier-naming)
class RolloutStoreTest : public ::testing::Test {
 protected:
  rollout_outcome Run(command body, std::int64_t after_ms = 1'000) {
    now_ms_ += after_ms;
    applied_effects effects;
    const outcome result =
        machine_.Apply(kernel::log_index(++index_), log_record{now_ms_, std::move(body)}, effects);
    const rollout_outcome decided = std::get<rollout_outcome>(result);
    EXPECT_EQ(effects.rollouts_changed, decided.changed);
    return decided;
  }

  rollout_outcome Advance(std::int64_t share, rollout::rollout_state state) {
    return Run(
        advance_rollout_command{kService, Record().started, kernel::traffic_share(share), state});
  }

  const rollout::rollout_record& Record() const { return *machine_.rollouts().Find(kService); }

  state_machine machine_;
  std::uint64_t index_ = 0;
  std::int64_t now_ms_ = 1'000'000;
};

// Guards against a resend that is refused or starts a second rollout, and against two rollouts of a
// service at a time.
TEST_F(RolloutStoreTest, AcceptsAResendAndRefusesAnotherOrder) {
  EXPECT_TRUE(Run(Order("v2", 1)).changed);
  EXPECT_EQ(Record().share, rollout::kCanaryShare);
  const rollout_outcome again = Run(Order("v2", 1));
  EXPECT_TRUE(again.accepted);
  EXPECT_FALSE(again.changed);
  EXPECT_FALSE(Run(Order("v3", 2)).accepted);
  start_rollout_command other = Order("v3", 3);
  other.service = kernel::service_name("other");
  EXPECT_TRUE(Run(other).accepted);
}

// Guards against a late resend that starts a version again which was rolled back in the meantime,
// and against an operator who can't order that version again later.
TEST_F(RolloutStoreTest, RestartsARolledBackVersionOnlyAfterTheResendWindow) {
  Run(Order("v2", 1));
  Advance(0, rollout::rollout_state::kRolledBack);
  EXPECT_FALSE(Run(Order("v2", 1)).changed);
  EXPECT_EQ(Record().state, rollout::rollout_state::kRolledBack);
  EXPECT_TRUE(Run(Order("v2", 1), rollout::kOrderResendWindow.count()).changed);
  EXPECT_TRUE(rollout::IsRunning(Record()));
}

// Guards against a delayed step of an earlier rollout, a share that shrinks, and a rollout that
// goes on after its end.
TEST_F(RolloutStoreTest, IgnoresOutdatedSteps) {
  Run(Order("v2", 1));
  const advance_rollout_command earlier{kService, Record().started, kernel::kAllTraffic,
                                        rollout::rollout_state::kCompleted};
  EXPECT_TRUE(Advance(250, rollout::rollout_state::kRunning).changed);
  EXPECT_FALSE(Advance(83, rollout::rollout_state::kRunning).changed);
  EXPECT_TRUE(Advance(0, rollout::rollout_state::kRolledBack).changed);
  EXPECT_FALSE(Advance(1'000, rollout::rollout_state::kCompleted).changed);
  Run(Order("v3", 2));
  EXPECT_FALSE(Run(earlier).accepted);
  EXPECT_TRUE(rollout::IsRunning(Record()));
}

// Guards against a bad version that counts as released in the next rollout, and against a
// completed one that does not.
TEST_F(RolloutStoreTest, ReleasesOnlyCompletedVersions) {
  const auto released = [this] { return Record().released; };
  Run(Order("v2", 1));
  Advance(0, rollout::rollout_state::kRolledBack);
  Run(Order("v3", 2));
  EXPECT_EQ(released(), std::vector{kernel::software_version("v1")});
  Advance(1'000, rollout::rollout_state::kCompleted);
  Run(Order("v4", 3));
  EXPECT_EQ(released(), std::vector{kernel::software_version("v3")});
  Advance(0, rollout::rollout_state::kRolledBack);
  Run(Order("v3", 4));
  EXPECT_EQ(Record().state, rollout::rollout_state::kCompleted) << "it is in use already";
}

// Guards against an order that is lost with the log entries that a snapshot replaces.
TEST_F(RolloutStoreTest, KeepsTheRecordsInSnapshots) {
  Run(Order("v2", 1));
  Advance(250, rollout::rollout_state::kRunning);
  const auto decoded = codec::Decode<state_snapshot>(codec::Encode(machine_.Snapshot()));
  ASSERT_TRUE(decoded);
  state_machine restored;
  restored.Restore(decoded.value());
  ASSERT_NE(restored.rollouts().Find(kService), nullptr);
  EXPECT_EQ(*restored.rollouts().Find(kService), Record());
  EXPECT_EQ(restored.rollouts().revision(), machine_.rollouts().revision());
  EXPECT_EQ(restored.rollouts().ChangedSince(kernel::rollout_revision(1)).size(), 1U);
}

}  // namespace
}  // namespace cornelweir::control
