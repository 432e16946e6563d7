// The elections of a node.

#include <algorithm>
#include <iterator>
#include <utility>

#include "cornelweir/src/replication/limits.h"
#include "cornelweir/src/replication/node.h"

namespace cornelweir::replication {

// A host that the latest configuration removes or demotes may campaign until that entry is
// committed: it may be the only host whose log contains the entry, and then it denies its vote to
// all others.
bool node::MayCampaign() const {
  const auto is_recorded_voter = [&](const group_configuration& group) {
    return IsVoter(group, self_) && IsRecordedDisk(group, self_, disk_, bootstrap_);
  };
  const auto latest = configurations_.rbegin();
  if (is_recorded_voter(latest->second)) return true;
  const auto previous = std::next(latest);
  return latest->first > commit_index_ && previous != configurations_.rend() &&
         is_recorded_voter(previous->second);
}

bool node::IsUpToDate(kernel::term last_term, kernel::log_index last_index) const {
  return last_term > log_.last_term() ||
         (last_term == log_.last_term() && last_index >= log_.last_index());
}

bool node::HasRecentLeaderContact() const {
  if (role_ == role::kLeader) return true;
  return last_leader_contact_ &&
         now_ - *last_leader_contact_ < kElectionTimeoutMin + SyncAllowance();
}

void node::BecomeFollower(kernel::term term, std::optional<kernel::host_id> leader) {
  if (term > state_.term) state_ = durable_state{term, std::nullopt};
  if (role_ == role::kLeader) {
    FailPendingReads();
    progress_.clear();
  }
  role_ = role::kFollower;
  leader_ = std::move(leader);
  counts_votes_ = false;
  pre_votes_.clear();
  votes_.clear();
  ResetElectionTimer();
}

void node::Campaign(bool pre_vote) {
  pre_votes_.clear();
  leader_.reset();
  const bool is_voter = IsVoter(configuration(), self_);
  if (pre_vote) {
    role_ = role::kPreCandidate;
    if (is_voter) pre_votes_.insert(self_);
  } else {
    role_ = role::kCandidate;
    state_ = durable_state{Next(state_.term), self_};
    counts_votes_ = true;
    votes_.clear();
    if (is_voter) votes_.insert(self_);
    ResetElectionTimer();
  }
  for (const kernel::host_id& host : configuration().voters) {
    if (host == self_) continue;
    const disk_record* record = FindDiskRecord(configuration(), host);
    Send(host, request_vote{pre_vote ? Next(state_.term) : state_.term, log_.last_index(),
                            log_.last_term(), pre_vote,
                            record != nullptr ? record->disk : kernel::disk_id()});
  }
  CountVotes();
}

void node::CountVotes() {
  if (votes_.size() >= Quorum()) {
    BecomeLeader();
  } else if (pre_votes_.size() >= Quorum()) {
    Campaign(/*pre_vote=*/false);
  }
}

void node::BecomeLeader() {
  role_ = role::kLeader;
  leader_ = self_;
  leadership_start_ = quorum_check_start_ = now_;
  round_counter_ = 0;
  unconfirmed_rounds_.clear();
  confirmed_sent_at_.reset();
  counts_votes_ = false;
  pre_votes_.clear();
  votes_.clear();
  progress_.clear();
  UpdateTrackedPeers();
  backlog_bytes_ = 0;
  AppendToLog(log_entry{state_.term, Next(log_.last_index()), entry_kind::kNoop, {}});
  next_heartbeat_ = now_ + kHeartbeatInterval;
  StartHeartbeatRound(/*voters_only=*/false);
}

void node::Handle(const kernel::host_id& sender, const request_vote& request) {
  const auto send_vote = [&](bool granted, kernel::term term) {
    Send(sender, vote{term, granted, request.pre_vote, disk_, bootstrap_, SyncTimeOf(self_)});
  };
  if (request.term < state_.term) return send_vote(false, state_.term);
  // A host that can't reach the current leader must not depose it.
  if (HasRecentLeaderContact()) return;
  if (!request.pre_vote && request.term > state_.term) BecomeFollower(request.term, std::nullopt);
  // The candidate relies on the votes and entries that this voter has stored. Only the recorded
  // disk, or a disk of the initial configuration while there is no record, contains them.
  const bool has_voter_disk =
      request.voter_disk == kernel::disk_id() ? bootstrap_ : request.voter_disk == disk_;
  if (!has_voter_disk || !IsUpToDate(request.last_term, request.last_index)) {
    return send_vote(false, state_.term);
  }
  if (request.pre_vote) return send_vote(request.term > state_.term, request.term);
  if (state_.voted_for && *state_.voted_for != sender) return send_vote(false, state_.term);
  state_.voted_for = sender;
  ResetElectionTimer();
  send_vote(true, state_.term);
}

void node::Handle(const kernel::host_id& sender, const vote& reply) {
  RecordReportedSync(sender, reply.sync_time);
  if (!reply.granted && reply.term > state_.term) {
    BecomeFollower(reply.term, std::nullopt);
    return;
  }
  // The votes of the current term still count while pre-votes for the next one are requested.
  const bool is_expected = reply.pre_vote
                               ? role_ == role::kPreCandidate && reply.term == Next(state_.term)
                               : counts_votes_ && reply.term == state_.term;
  if (!is_expected || !reply.granted) return;
  if (!IsVoter(configuration(), sender) ||
      !IsRecordedDisk(configuration(), sender, reply.disk, reply.bootstrap)) {
    return;
  }
  (reply.pre_vote ? pre_votes_ : votes_).insert(sender);
  CountVotes();
}

}  // namespace cornelweir::replication
