#include "cornelweir/control.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "cornelweir/codec.h"

namespace cornelweir::control {
namespace {

using table::row_key;
using table::row_kind;

const row_key kLimit{row_kind::kLimit, "standard"};
const row_key kWait{row_kind::kWait, "short"};
const row_key kService{row_kind::kService, "forms"};
const row_key kSplit{row_kind::kSplit, "forms/v1"};

// Applies commands to a state machine at consecutive indexes of the log.
// NOLINTNEXTLINE(readability-identifier-naming)
class StateMachineTest : public ::testing::Test {
 protected:
  outcome Run(command body) {
    applied_effects effects;
    outcome result =
        machine_.Apply(kernel::log_index(++index_),
                       log_record{static_cast<std::int64_t>(index_), std::move(body)}, effects);
    effects_ = effects;
    return result;
  }

  outcome Edit(const std::string& id, std::vector<row_edit> edits) {
    return Run(edit_command{kernel::change_id(id), "operator", std::move(edits)});
  }

  outcome Accept(const std::string& id) {
    return Run(accept_command{kernel::change_id(id), "operator", ""});
  }

  outcome EditAll() {
    const kernel::row_version none;
    return Edit(
        "setup",
        {{kLimit, none, table::limit_row{}},
         {kWait, none, table::wait_row{1000, 100}},
         {kService, none,
          table::service_row{kernel::limit_name("standard"), kernel::wait_name("short"), {}}},
         {kSplit, none, table::split_row{kernel::weight(100)}}});
  }

  state_machine machine_;
  applied_effects effects_;
  std::uint64_t index_ = 0;
};

// Guards against applying two edits that are based on the same row version.
TEST_F(StateMachineTest, OneOfTwoConcurrentEditsIsAppliedAndTheOtherConflicts) {
  EditAll();
  const row_edit first{kSplit, kernel::row_version(1), table::split_row{kernel::weight(10)}};
  const row_edit second{kSplit, kernel::row_version(1), table::split_row{kernel::weight(20)}};
  EXPECT_TRUE(std::holds_alternative<edited_outcome>(Edit("a", {first})));
  const outcome rejected = Edit("b", {second});
  ASSERT_TRUE(std::holds_alternative<conflict_outcome>(rejected));
  const edit_conflict& conflict = std::get<conflict_outcome>(rejected).conflicts.at(0);
  EXPECT_EQ(conflict.actual_row_version, kernel::row_version(2));
  EXPECT_EQ(conflict.current, table::row_content(*first.content));
  EXPECT_EQ(conflict.yours, table::row_content(*second.content));
}

// Guards against applying an edit of a deleted row to a new row of the same name.
TEST_F(StateMachineTest, ARowThatIsCreatedAgainHasANewVersion) {
  EditAll();
  Edit("delete", {{kSplit, kernel::row_version(1), std::nullopt}});
  Edit("create", {{kSplit, kernel::row_version(0), table::split_row{kernel::weight(5)}}});
  const outcome stale =
      Edit("stale", {{kSplit, kernel::row_version(1), table::split_row{kernel::weight(7)}}});
  EXPECT_TRUE(std::holds_alternative<conflict_outcome>(stale));
}

// Guards against applying a change twice, or answering it differently, when it is resent because
// its answer was lost.
TEST_F(StateMachineTest, AResentChangeGetsItsFirstOutcome) {
  EditAll();
  const outcome first = Accept("accept");
  ASSERT_TRUE(std::holds_alternative<accepted_outcome>(first));
  Edit("change", {{kSplit, kernel::row_version(1), table::split_row{kernel::weight(50)}}});
  const outcome resent = Accept("accept");
  EXPECT_EQ(std::get<accepted_outcome>(resent).version, kernel::table_version(1));
  EXPECT_EQ(machine_.history().newest(), kernel::table_version(1));
  const outcome edit_again =
      Edit("change", {{kSplit, kernel::row_version(1), table::split_row{kernel::weight(50)}}});
  EXPECT_TRUE(std::holds_alternative<edited_outcome>(edit_again));
}

// Guards against accepting a version with faults, and against reporting only some of the faults.
TEST_F(StateMachineTest, AnInvalidDraftIsRefusedWithEveryFault) {
  EditAll();
  Edit("a", {{kWait, kernel::row_version(1), std::nullopt},
             {kLimit, kernel::row_version(1), std::nullopt}});
  const outcome refused = Accept("accept");
  ASSERT_TRUE(std::holds_alternative<invalid_outcome>(refused));
  EXPECT_EQ(std::get<invalid_outcome>(refused).faults.size(), 2U);
  EXPECT_FALSE(effects_.table_changed);
  EXPECT_EQ(machine_.history().newest(), kernel::table_version(0));
}

// Guards against a rollback that decreases the version.
TEST_F(StateMachineTest, RestoringMakesANewVersionWithOldContents) {
  EditAll();
  Accept("v1");
  const table::row_map old = machine_.history().rows();
  Edit("a", {{kSplit, kernel::row_version(1), table::split_row{kernel::weight(50)}}});
  Accept("v2");
  const outcome restored =
      Run(restore_command{kernel::change_id("v3"), "operator", kernel::table_version(1)});
  EXPECT_EQ(std::get<accepted_outcome>(restored).version, kernel::table_version(3));
  EXPECT_EQ(machine_.history().rows(), old);
  EXPECT_EQ(machine_.current_draft().Contents(), old);
  EXPECT_EQ(machine_.history().RowsOf(kernel::table_version(1)), old);
}

// Guards against a snapshot without the state that later outcomes depend on.
TEST_F(StateMachineTest, ASnapshotKeepsOutcomesVersionsAndClaims) {
  EditAll();
  Accept("v1");
  Run(claim_command{kernel::idempotency_key("k"), kernel::attempt_id("a1"),
                    kernel::fingerprint(7)});
  const auto bytes = codec::Encode(machine_.Snapshot());
  const auto decoded = codec::Decode<state_snapshot>(bytes);
  ASSERT_TRUE(decoded);
  machine_ = state_machine();
  machine_.Restore(decoded.value());
  EXPECT_EQ(std::get<accepted_outcome>(Accept("v1")).version, kernel::table_version(1));
  const outcome claimed = Run(claim_command{kernel::idempotency_key("k"), kernel::attempt_id("a2"),
                                            kernel::fingerprint(7)});
  EXPECT_EQ(std::get<claimed_outcome>(claimed).result.status, claims::claim_status::kHeld);
}

// Guards against replicas that differ after the same log, and against versions that skip or repeat
// numbers: two state machines apply the same random commands, and one of them is replaced half way
// by one restored from its snapshot.
RC_GTEST_PROP(ControlProperty, ReplicasAgreeAndVersionsGrowByOne, ()) {
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 4)));
  state_machine machine;
  state_machine restored_machine;
  kernel::table_version newest;
  std::uint64_t index = 0;
  for (const auto& [action, value] : steps) {
    const kernel::change_id id(std::to_string(action) + "-" + std::to_string(index / 2));
    const row_key key{row_kind::kLimit, "limit-" + std::to_string(value)};
    command body = accept_command{id, "operator", ""};
    if (action < 3) {
      body = edit_command{id,
                          "operator",
                          {{key, kernel::row_version(static_cast<std::uint64_t>(action)),
                            table::limit_row{kernel::request_count(value + 1)}}}};
    } else if (action == 3) {
      body =
          restore_command{id, "operator", kernel::table_version(static_cast<std::uint64_t>(value))};
    }
    ++index;
    const log_record record{static_cast<std::int64_t>(index), std::move(body)};
    applied_effects effects;
    const outcome first = machine.Apply(kernel::log_index(index), record, effects);
    const outcome second = restored_machine.Apply(kernel::log_index(index), record, effects);
    RC_ASSERT(codec::Encode(first) == codec::Encode(second));
    RC_ASSERT(machine.history().newest() == newest || machine.history().newest() == Next(newest));
    newest = machine.history().newest();
    if (index == steps.size() / 2) {
      const state_snapshot snapshot = restored_machine.Snapshot();
      restored_machine = state_machine();
      restored_machine.Restore(snapshot);
    }
  }
  RC_ASSERT(codec::Encode(machine.Snapshot()) == codec::Encode(restored_machine.Snapshot()));
}

}  // namespace
}  // namespace cornelweir::control
