// How a node follows a leader: entries and snapshots that it receives.

#include <algorithm>
#include <string>
#include <utility>

#include "cornelweir/src/replication/limits.h"
#include "cornelweir/src/replication/node.h"

namespace cornelweir::replication {
namespace {

// Whether a correct leader can have sent these entries. Others would corrupt the log, or leave the
// group without voters.
bool IsWellFormed(const append_entries& request) {
  kernel::log_index expected = Next(request.previous_index);
  for (const log_entry& entry : request.entries) {
    if (entry.index != expected || entry.term > request.term) return false;
    if ((entry.kind == entry_kind::kConfiguration) != entry.configuration.has_value()) return false;
    if (entry.configuration && entry.configuration->voters.empty()) return false;
    expected = Next(expected);
  }
  return true;
}

}  // namespace

bool node::AcceptLeader(const kernel::host_id& sender, kernel::term term) {
  if (term < state_.term || (term == state_.term && role_ == role::kLeader)) return false;
  if (term > state_.term || role_ != role::kFollower) BecomeFollower(term, sender);
  leader_ = sender;
  last_leader_contact_ = now_;
  ResetElectionTimer();
  return true;
}

// A leader whose messages arrive but gets no reply sends no further entries. A host that lacks
// entries must not take the leader's rounds as a proof that its own state is the newest.
void node::RecordConfirmedRound(const append_entries& request) {
  if (commit_index_ < request.commit) return;
  confirmed_round_ = std::max(confirmed_round_, request.confirmed);
}

void node::Handle(const kernel::host_id& sender, const append_entries& request) {
  if (!IsWellFormed(request)) return;
  append_reply reply{state_.term, false, {}, request.round, disk_, bootstrap_, SyncTimeOf(self_)};
  if (!AcceptLeader(sender, request.term)) {
    Send(sender, reply);
    return;
  }
  if (request.majority_sync_time > kernel::microseconds::zero()) {
    majority_sync_.Record(request.majority_sync_time, now_);
  }
  reply.term = state_.term;
  const kernel::log_index last_new_index(request.previous_index.value() + request.entries.size());
  if (last_new_index < commit_index_) {
    // A delayed message; its entries are committed here already.
    RecordConfirmedRound(request);
    reply.accepted = true;
    reply.index = commit_index_;
    Send(sender, reply);
    return;
  }
  // Entries up to the base are committed, so they match.
  if (request.previous_index >= log_.base_index() &&
      log_.TermAt(request.previous_index) != request.previous_term) {
    reply.index = request.previous_index > log_.last_index()
                      ? Next(log_.last_index())
                      : log_.FirstIndexOfTerm(request.previous_index);
    reply.index = std::max(reply.index, Next(commit_index_));
    Send(sender, reply);
    return;
  }
  for (const log_entry& entry : request.entries) {
    if (entry.index <= log_.base_index()) continue;
    const std::optional<kernel::term> existing_term = log_.TermAt(entry.index);
    if (existing_term == entry.term) continue;
    // A conflict with a committed entry can't come from a correct leader.
    if (entry.index <= commit_index_) return;
    if (existing_term) TruncateLog(entry.index);
    AppendToLog(entry);
  }
  SetCommitIndex(std::min(request.commit, last_new_index));
  RecordConfirmedRound(request);
  reply.accepted = true;
  reply.index = last_new_index;
  Send(sender, reply);
}

void node::Handle(const kernel::host_id& sender, const install_snapshot& request) {
  snapshot_reply reply{state_.term, request.snapshot_index, 0, false, request.round, disk_,
                       bootstrap_};
  if (!AcceptLeader(sender, request.term)) {
    Send(sender, reply);
    return;
  }
  reply.term = state_.term;
  const bool log_matches = log_.TermAt(request.snapshot_index) == request.snapshot_term;
  if (log_matches) SetCommitIndex(request.snapshot_index);
  if (log_matches || request.snapshot_index <= commit_index_) {
    reply.complete = true;
    Send(sender, reply);
    return;
  }
  if (request.total > kMaxSnapshotBytes || request.configuration.voters.empty()) return;
  if (!partial_snapshot_ || partial_snapshot_->index != request.snapshot_index ||
      partial_snapshot_->term != request.snapshot_term) {
    partial_snapshot_ = partial_snapshot{request.snapshot_index, request.snapshot_term, {}};
  }
  std::string& data = partial_snapshot_->data.bytes;
  if (request.offset == data.size() && data.size() + request.piece.bytes.size() <= request.total) {
    data += request.piece.bytes;
  }
  reply.offset = data.size();
  if (data.size() == request.total) {
    InstallSnapshot(snapshot{request.snapshot_index, request.snapshot_term, request.configuration,
                             std::move(partial_snapshot_->data)});
    reply.complete = true;
  }
  Send(sender, reply);
}

void node::InstallSnapshot(snapshot installed) {
  partial_snapshot_.reset();
  log_ = internal::replicated_log(installed.index, installed.term);
  configurations_.clear();
  configurations_[installed.index] = installed.configuration;
  commit_index_ = delivered_index_ = taken_index_ = durable_index_ = installed.index;
  snapshot_ = std::make_shared<const snapshot>(std::move(installed));
  snapshot_install_pending_ = true;
  compaction_pending_ = false;
}

void node::AppendToLog(log_entry entry) {
  if (entry.configuration) configurations_[entry.index] = *entry.configuration;
  log_.Append(std::move(entry));
}

void node::TruncateLog(kernel::log_index first_removed) {
  log_.TruncateFrom(first_removed);
  taken_index_ = std::min(taken_index_, Previous(first_removed));
  durable_index_ = std::min(durable_index_, Previous(first_removed));
  configurations_.erase(configurations_.lower_bound(first_removed), configurations_.end());
}

}  // namespace cornelweir::replication
