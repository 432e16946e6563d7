#include "cornelweir/src/control/state_machine.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "cornelweir/src/control/limits.h"

namespace cornelweir::control {

struct state_machine::apply_context {
  kernel::log_index index;
  applied_effects& effects;
};

namespace internal {

// A command of an operator. It carries an id by which resends are recognized.
template <class Command>
concept has_change_id = requires(const Command& command) {
  command.change_id;
};

std::optional<refused_outcome> CheckTextLengths(const std::string& author,
                                                const std::string& note) {
  if (author.size() > kMaxAuthorBytes) return refused_outcome{"the author is too long"};
  if (note.size() > kMaxNoteBytes) return refused_outcome{"the note is too long"};
  return std::nullopt;
}

}  // namespace internal

kernel::time_point state_machine::now() const {
  return kernel::time_point(std::chrono::milliseconds(now_ms_));
}

outcome state_machine::Apply(kernel::log_index index, const log_record& record,
                             applied_effects& effects) {
  // The wall clocks of leaders differ, but the time of the state machine must not decrease.
  now_ms_ = std::max(now_ms_, record.proposed_at_ms);
  Expire(effects);
  apply_context context{index, effects};
  return std::visit(
      [&]<class Command>(const Command& command) {
        if constexpr (internal::has_change_id<Command>) {
          return RunOnce(command, context);
        } else {
          return Run(command, context);
        }
      },
      record.body);
}

void state_machine::Expire(applied_effects& effects) {
  claims_.Expire(now());
  const std::size_t previous_count = crashes_.state().quarantined.size();
  crashes_.Expire(now());
  effects.quarantine_changed = crashes_.state().quarantined.size() != previous_count;
}

template <class Command>
outcome state_machine::RunOnce(const Command& command, apply_context& context) {
  const std::string& id = command.change_id.value();
  if (id.empty() || id.size() > kMaxChangeIdBytes) {
    return refused_outcome{"a change needs an id of 1 to 128 bytes"};
  }
  if (auto first = outcomes_.Find(command.change_id)) return *std::move(first);
  outcome result = Run(command, context);
  outcomes_.Store(command.change_id, result);
  return result;
}

outcome state_machine::Run(const edit_command& command, apply_context&) {
  if (auto refused = internal::CheckTextLengths(command.author, "")) return *refused;
  return draft_.Edit(command.edits);
}

outcome state_machine::AcceptRows(const table::row_map& rows, const std::string& author,
                                  const std::string& note, apply_context& context) {
  if (auto refused = internal::CheckTextLengths(author, note)) return *refused;
  if (auto faults = table::Validate(rows); !faults.empty()) {
    return invalid_outcome{std::move(faults)};
  }
  if (rows == history_.rows()) return accepted_outcome{history_.newest()};
  context.effects.table_changed = true;
  return accepted_outcome{history_.Accept(rows, author, note, now_ms_)};
}

outcome state_machine::Run(const accept_command& command, apply_context& context) {
  return AcceptRows(draft_.Contents(), command.author, command.note, context);
}

outcome state_machine::Run(const restore_command& command, apply_context& context) {
  const auto rows = history_.RowsOf(command.version);
  if (!rows) return refused_outcome{"the version is unknown or past the retention"};
  outcome result =
      AcceptRows(*rows, command.author,
                 "restored version " + std::to_string(command.version.value()), context);
  if (std::holds_alternative<accepted_outcome>(result)) draft_.ReplaceContents(*rows);
  return result;
}

outcome state_machine::Run(const announce_command& command, apply_context& context) {
  const auto result =
      members_.Announce(command.record, kernel::membership_revision(context.index.value()));
  announced_outcome announced;
  announced.accepted = result.outcome == membership::announce_outcome::kAccepted ||
                       result.outcome == membership::announce_outcome::kUnchanged;
  announced.needed = result.needed;
  if (announced.accepted) context.effects.announced = command.record;
  context.effects.members_changed = result.outcome == membership::announce_outcome::kAccepted;
  return announced;
}

outcome state_machine::Run(const leave_command& command, apply_context& context) {
  context.effects.members_changed = members_.Leave(
      command.id, command.incarnation, kernel::membership_revision(context.index.value()));
  if (context.effects.members_changed) context.effects.left = command.id;
  return done_outcome{};
}

outcome state_machine::Run(const claim_command& command, apply_context&) {
  return claimed_outcome{claims_.Claim(command.key, command.attempt, command.fingerprint, now())};
}

outcome state_machine::Run(const complete_command& command, apply_context&) {
  claims_.Complete(command.key, command.attempt, command.response);
  return done_outcome{};
}

outcome state_machine::Run(const release_command& command, apply_context&) {
  claims_.Release(command.key, command.attempt);
  return done_outcome{};
}

outcome state_machine::Run(const crash_command& command, apply_context& context) {
  const quarantine::crash_report report{command.upstream, command.incarnation, command.in_progress};
  if (!crashes_.ReportCrash(report, now()).empty()) context.effects.quarantine_changed = true;
  return done_outcome{};
}

outcome state_machine::Run(const quarantine_command& command, apply_context& context) {
  if (crashes_.Impose(command.fingerprint, command.service, now())) {
    context.effects.quarantine_changed = true;
  }
  return done_outcome{};
}

outcome state_machine::Run(const release_quarantine_command& command, apply_context& context) {
  context.effects.quarantine_changed = crashes_.Release(command.fingerprint);
  return done_outcome{};
}

outcome state_machine::Run(const replace_policy_command& command, apply_context& context) {
  const policy_outcome result = policy_.Replace(command);
  context.effects.policy_changed = result.changed;
  return result;
}

outcome state_machine::Run(const start_rollout_command& command, apply_context& context) {
  const rollout_outcome result =
      rollouts_.Start(command, now_ms_, kernel::rollout_revision(context.index.value()));
  context.effects.rollouts_changed = result.changed;
  return result;
}

outcome state_machine::Run(const advance_rollout_command& command, apply_context& context) {
  const rollout_outcome result =
      rollouts_.Advance(command, kernel::rollout_revision(context.index.value()));
  context.effects.rollouts_changed = result.changed;
  return result;
}

state_snapshot state_machine::Snapshot() const {
  state_snapshot snapshot;
  snapshot.now_ms = now_ms_;
  snapshot.current_draft = draft_;
  snapshot.history = history_;
  snapshot.outcomes = outcomes_;
  snapshot.members = members_.Snapshot();
  snapshot.claims = claims_.Snapshot();
  snapshot.crashes = crashes_.Snapshot();
  snapshot.policy = policy_.Snapshot();
  snapshot.rollouts = rollouts_.records();
  return snapshot;
}

void state_machine::Restore(const state_snapshot& snapshot) {
  now_ms_ = snapshot.now_ms;
  draft_ = snapshot.current_draft;
  history_ = snapshot.history;
  outcomes_ = snapshot.outcomes;
  members_.Restore(snapshot.members);
  claims_.Restore(snapshot.claims);
  crashes_.Restore(snapshot.crashes);
  policy_.Restore(snapshot.policy);
  rollouts_.Restore(snapshot.rollouts);
}

}  // namespace cornelweir::control
