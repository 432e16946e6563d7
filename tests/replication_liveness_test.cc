// Tests that a group of control hosts has a leader, and hosts that are current, within a bounded
// time after its faults end, without a restart. The loop of a host is blocked while its disk syncs.

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cerrno>
#include <cstdint>
#include <vector>

#include "tests/liveness_group.h"
#include "tests/schedule_step.h"

namespace cornelweir::storage {
namespace {

using kernel::milliseconds;

constexpr std::uint32_t kHostChoices = 60;
// The time within which a group must be current after its faults end.
constexpr milliseconds kMaxRecovery{20'000};
// How long it must remain current without a change, so that a leader that soon steps down fails.
constexpr milliseconds kSteadyTime{2'000};
constexpr milliseconds kMaxCommit{10'000};

enum class action : std::uint8_t {
  kWait,
  kPropose,
  kSetSyncTime,
  kPauseOne,
  kPauseTwo,
  kPauseAll,
  kStop,
  kStart,
  kRestart,
  kLosePower,
  kLosePowerOfAll,
  kLoseDisks,
  kFillDisk,
  kFailCalls,
  kFreeDisk,
  kCompact,
  kSilenceLink,
  kSilenceHost,
  kReplaceLinks,
  kCount
};

using step = schedule_step<action>;

// Executes a step. Syncs take at most the given time.
void Execute(liveness_group& group, const step& executed, milliseconds max_sync) {
  const std::size_t position = executed.host % group.size();
  const std::size_t next = (position + 1) % group.size();
  const milliseconds pause(60 * executed.detail);
  switch (executed.kind) {
    case action::kPropose:
      for (std::size_t i = 0; i < group.size(); ++i) group.Propose(i);
      break;
    case action::kSetSyncTime:
      group.SetSyncTime(position, max_sync * (executed.detail % 11) / 10);
      break;
    case action::kPauseOne:
      group.Pause(position, pause);
      break;
    case action::kPauseTwo:
      group.Pause(position, pause);
      group.Pause(next, pause);
      break;
    case action::kPauseAll:
      for (std::size_t i = 0; i < group.size(); ++i) group.Pause(i, pause);
      break;
    case action::kStop:
      group.Stop(position);
      break;
    case action::kStart:
      group.Start(position);
      break;
    case action::kRestart:
      group.Stop(position);
      group.Start(position);
      break;
    case action::kLosePower:
      group.LosePower(position);
      break;
    case action::kLosePowerOfAll:
      for (std::size_t i = 0; i < group.size(); ++i) group.LosePower(i);
      break;
    case action::kLoseDisks:
      group.LoseDisks(position, 1);
      break;
    case action::kFillDisk:
      group.DiskOf(position).SetRoom(executed.detail * 40);
      break;
    case action::kFailCalls:
      group.DiskOf(position).FailCalls(group.DiskOf(position).calls() + 1 + executed.detail % 7,
                                       1 + executed.detail % 5, EIO);
      break;
    case action::kFreeDisk:
      group.DiskOf(position).SetRoom(std::nullopt);
      break;
    case action::kCompact:
      group.Compact(position);
      break;
    case action::kSilenceLink:
      group.Silence(position, (position + 1 + executed.detail % (group.size() - 1)) % group.size());
      break;
    case action::kSilenceHost:
      // The host is heard by others, or hears them, but not both.
      for (std::size_t i = 0; i < group.size(); ++i) {
        if (i == position) continue;
        if (executed.detail % 2 == 0) {
          group.Silence(position, i);
        } else {
          group.Silence(i, position);
        }
      }
      break;
    case action::kReplaceLinks:
      group.ReplaceLinks();
      break;
    default:
      break;
  }
  group.RunFor(milliseconds(executed.wait_ms));
}

rc::Gen<std::vector<step>> AnySteps() {
  return rc::gen::container<std::vector<step>>(
      AnyStep(AnyAction<action>(), kHostChoices,
              rc::gen::oneOf(rc::gen::inRange<std::uint32_t>(0, 50),
                             rc::gen::inRange<std::uint32_t>(200, 1'500),
                             rc::gen::inRange<std::uint32_t>(2'000, 4'000))));
}

liveness_options AnyOptions() {
  liveness_options options;
  options.seed = *rc::gen::arbitrary<std::uint64_t>();
  options.voters = *rc::gen::element<std::size_t>(3, 5);
  options.loss_percent = *rc::gen::element<std::uint32_t>(0, 5, 20);
  options.order = *rc::gen::element(tick_order::kBeforeMessages, tick_order::kAfterMessages,
                                    tick_order::kEither);
  options.messages_per_turn = *rc::gen::element<std::size_t>(1, 4, 1'000);
  options.replaces_voters = *rc::gen::element(false, true);
  return options;
}

void ExpectRecovery(liveness_group& group) {
  group.EndFaults();
  if (!group.RunUntil([&] { return group.IsCurrent(); }, kSteadyTime, kMaxRecovery + kSteadyTime)) {
    RC_FAIL("the group does not become current: " + group.Describe());
  }
  if (!group.CommitsChangeWithin(kMaxCommit)) {
    RC_FAIL("the group does not commit a change: " + group.Describe());
  }
}

// Runs a schedule of faults, after which each disk keeps a sync time of its own up to the maximum.
void CheckRecoveryAfterFaults(milliseconds max_sync) {
  const liveness_options options = AnyOptions();
  const std::vector<step> steps = *AnySteps();
  liveness_group group(options);
  // Voters are replaced and disks are lost only under a leader.
  group.RunFor(milliseconds(3'000));
  for (const step& taken : steps) Execute(group, taken, max_sync);
  for (std::size_t i = 0; i < group.size(); ++i) {
    const auto tenths = *rc::gen::inRange(0, 11);
    group.SetSyncTime(i, max_sync * tenths / 10);
  }
  ExpectRecovery(group);
}

void CheckRecoveryWithEqualDisks(milliseconds sync_time) {
  liveness_group group(AnyOptions());
  for (std::size_t i = 0; i < group.size(); ++i) group.SetSyncTime(i, sync_time);
  group.RunFor(milliseconds(3'000));
  ExpectRecovery(group);
}

// Guards against a state that faults leave behind and that only a restart ends.
TEST(ReplicationLiveness, GroupIsCurrentAfterFaultsWithSyncsOfUpTo150Ms) {
  EXPECT_TRUE(rc::check([] { CheckRecoveryAfterFaults(milliseconds(150)); }));
}

// Guards against timers of a few hundred milliseconds that take the sync of a host for its silence.
TEST(ReplicationLiveness, GroupIsFoundedWithSyncsOf150Ms) {
  EXPECT_TRUE(rc::check([] { CheckRecoveryWithEqualDisks(milliseconds(150)); }));
}

// Guards against a group whose members never elect a leader, or lose it at each change, since a
// sync takes longer than their timers allow. A disk that needs 500 ms for a sync is slow, but it
// works.
TEST(ReplicationLivenessSlowDisks, GroupIsFoundedWithSyncsOf500Ms) {
  EXPECT_TRUE(rc::check([] { CheckRecoveryWithEqualDisks(milliseconds(500)); }));
}

TEST(ReplicationLivenessSlowDisks, GroupIsCurrentAfterFaultsWithSyncsOfUpTo500Ms) {
  EXPECT_TRUE(rc::check([] { CheckRecoveryAfterFaults(milliseconds(500)); }));
}

}  // namespace
}  // namespace cornelweir::storage
