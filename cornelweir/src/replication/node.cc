#include "cornelweir/src/replication/node.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <string>
#include <variant>

#include "cornelweir/src/replication/limits.h"

namespace cornelweir::replication {
namespace {

kernel::log_index Previous(kernel::log_index index) {
  return kernel::log_index(index.value() == 0 ? 0 : index.value() - 1);
}

kernel::heartbeat_round MakeRound(kernel::term term, std::uint64_t counter) {
  return kernel::heartbeat_round((term.value() << 32U) | counter);
}

// Whether a host on this disk is the member that the configuration records. Without a record, any
// disk that was started with the bootstrap flag counts.
bool IsRecordedDisk(const group_configuration& configuration, const kernel::host_id& host,
                    kernel::disk_id disk, bool bootstrap) {
  const disk_record* record = FindDiskRecord(configuration, host);
  return record != nullptr ? record->disk == disk : bootstrap;
}

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

bool HasDuplicates(std::vector<kernel::host_id> hosts) {
  std::sort(hosts.begin(), hosts.end());
  return std::adjacent_find(hosts.begin(), hosts.end()) != hosts.end();
}

}  // namespace

void node::AdvanceClock(kernel::time_point now) {
  if (!started_) {
    started_ = true;
    now_ = now;
    SetElectionTimer(kFirstElectionMin, kFirstElectionMax);
  }
  now_ = std::max(now_, now);
}

void node::SetElectionTimer(kernel::microseconds min_timeout, kernel::microseconds max_timeout) {
  const auto range = static_cast<std::uint64_t>((max_timeout - min_timeout).count());
  election_deadline_ = now_ + min_timeout +
                       kernel::microseconds(static_cast<kernel::microseconds::rep>(
                           kernel::UniformBelow(random_, range)));
}

void node::ResetElectionTimer() { SetElectionTimer(kElectionTimeoutMin, kElectionTimeoutMax); }

void node::Send(const kernel::host_id& receiver, message body) {
  messages_.push_back(envelope{self_, receiver, std::move(body)});
}

void node::Tick(kernel::time_point now) {
  AdvanceClock(now);
  for (auto read = local_reads_.begin(); read != local_reads_.end();) {
    if (read->second.deadline <= now_) {
      completed_reads_.push_back(read_index_result{read->second.nonce, std::nullopt});
      read = local_reads_.erase(read);
    } else {
      ++read;
    }
  }
  if (role_ == role::kLeader) {
    CheckQuorum();
    if (role_ != role::kLeader) return;
    if (now_ >= next_heartbeat_) {
      next_heartbeat_ = now_ + kHeartbeatInterval;
      StartHeartbeatRound(/*voters_only=*/false);
      ReconcileDiskRecords();
    }
    return;
  }
  if (now_ >= election_deadline_) {
    leader_.reset();
    SetElectionTimer(kPreVoteRetryMin, kPreVoteRetryMax);
    if (MayCampaign()) Campaign(/*pre_vote=*/true);
  }
}

void node::Receive(const envelope& received, kernel::time_point now) {
  AdvanceClock(now);
  if (received.to != self_ || received.from == self_) return;
  std::visit([&](const auto& body) { Handle(received.from, body); }, received.body);
}

// ---- Elections.

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
  return last_leader_contact_ && now_ - *last_leader_contact_ < kElectionTimeoutMin;
}

void node::BecomeFollower(kernel::term term, std::optional<kernel::host_id> leader) {
  if (term > state_.term) state_ = durable_state{term, std::nullopt};
  if (role_ == role::kLeader) {
    FailPendingReads();
    progress_.clear();
  }
  role_ = role::kFollower;
  leader_ = std::move(leader);
  votes_.clear();
  ResetElectionTimer();
}

void node::Campaign(bool pre_vote) {
  votes_.clear();
  if (IsVoter(configuration(), self_)) votes_.insert(self_);
  leader_.reset();
  if (pre_vote) {
    role_ = role::kPreCandidate;
  } else {
    role_ = role::kCandidate;
    state_ = durable_state{Next(state_.term), self_};
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
  if (votes_.size() < Quorum()) return;
  if (role_ == role::kPreCandidate) {
    Campaign(/*pre_vote=*/false);
  } else if (role_ == role::kCandidate) {
    BecomeLeader();
  }
}

void node::BecomeLeader() {
  role_ = role::kLeader;
  leader_ = self_;
  leadership_start_ = now_;
  round_counter_ = 0;
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
    Send(sender, vote{term, granted, request.pre_vote, disk_, bootstrap_});
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
  if (!reply.granted && reply.term > state_.term) {
    BecomeFollower(reply.term, std::nullopt);
    return;
  }
  const bool is_expected = reply.pre_vote
                               ? role_ == role::kPreCandidate && reply.term == Next(state_.term)
                               : role_ == role::kCandidate && reply.term == state_.term;
  if (!is_expected || !reply.granted) return;
  if (!IsVoter(configuration(), sender) ||
      !IsRecordedDisk(configuration(), sender, reply.disk, reply.bootstrap)) {
    return;
  }
  votes_.insert(sender);
  CountVotes();
}

// ---- Follower.

bool node::AcceptLeader(const kernel::host_id& sender, kernel::term term,
                        kernel::heartbeat_round confirmed) {
  if (term < state_.term || (term == state_.term && role_ == role::kLeader)) return false;
  if (term > state_.term || role_ != role::kFollower) BecomeFollower(term, sender);
  leader_ = sender;
  last_leader_contact_ = now_;
  ResetElectionTimer();
  confirmed_round_ = std::max(confirmed_round_, confirmed);
  return true;
}

void node::Handle(const kernel::host_id& sender, const append_entries& request) {
  if (!IsWellFormed(request)) return;
  append_reply reply{state_.term, false, {}, request.round, disk_, bootstrap_};
  if (!AcceptLeader(sender, request.term, request.confirmed)) {
    Send(sender, reply);
    return;
  }
  reply.term = state_.term;
  const kernel::log_index last_new_index(request.previous_index.value() + request.entries.size());
  if (last_new_index < commit_index_) {
    // A delayed message; its entries are committed here already.
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
  reply.accepted = true;
  reply.index = last_new_index;
  Send(sender, reply);
}

void node::Handle(const kernel::host_id& sender, const install_snapshot& request) {
  snapshot_reply reply{state_.term, request.snapshot_index, 0, false, request.round, disk_,
                       bootstrap_};
  if (!AcceptLeader(sender, request.term, request.confirmed)) {
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

// ---- Leader.

bool node::CountsAsVoter(const kernel::host_id& host) const {
  if (host == self_) return true;
  const auto found = progress_.find(host);
  return found != progress_.end() && found->second.has_replied &&
         IsRecordedDisk(configuration(), host, found->second.disk, found->second.bootstrap);
}

bool node::HasCommittedInCurrentTerm() const { return log_.TermAt(commit_index_) == state_.term; }

void node::UpdateTrackedPeers() {
  std::map<kernel::host_id, internal::peer_progress> tracked;
  const auto keep_or_add = [&](const kernel::host_id& host) {
    if (host == self_) return;
    const auto found = progress_.find(host);
    if (found != progress_.end()) {
      tracked[host] = std::move(found->second);
      return;
    }
    internal::peer_progress added;
    added.next_index = Next(log_.last_index());
    added.last_contact = now_;
    tracked[host] = std::move(added);
  };
  for (const kernel::host_id& host : configuration().voters) keep_or_add(host);
  for (const kernel::host_id& host : configuration().learners) keep_or_add(host);
  progress_ = std::move(tracked);
}

internal::peer_progress* node::RecordReply(const kernel::host_id& sender, kernel::term term,
                                           kernel::heartbeat_round round, kernel::disk_id disk,
                                           bool bootstrap) {
  if (term > state_.term) {
    BecomeFollower(term, std::nullopt);
    return nullptr;
  }
  if (term < state_.term || role_ != role::kLeader) return nullptr;
  const auto found = progress_.find(sender);
  if (found == progress_.end()) return nullptr;
  internal::peer_progress& peer = found->second;
  if (peer.has_replied && peer.disk != disk) {
    // The disk was replaced: it lacks what the earlier one acknowledged.
    peer = internal::peer_progress{};
    peer.next_index = Next(log_.last_index());
  }
  peer.has_replied = true;
  peer.last_contact = now_;
  peer.disk = disk;
  peer.bootstrap = bootstrap;
  peer.acknowledged_round = std::max(peer.acknowledged_round, round);
  return &peer;
}

void node::Handle(const kernel::host_id& sender, const append_reply& reply) {
  internal::peer_progress* peer =
      RecordReply(sender, reply.term, reply.round, reply.disk, reply.bootstrap);
  if (peer == nullptr) return;
  if (reply.accepted) {
    peer->match_index = std::max(peer->match_index, std::min(reply.index, log_.last_index()));
    peer->next_index = std::max(peer->next_index, Next(peer->match_index));
    peer->probing = false;
    peer->awaiting_reply = false;
    peer->bytes_in_flight = 0;
    if (peer->next_index > log_.base_index()) peer->outgoing_snapshot.reset();
    AdvanceCommitIndex();
  } else if (!peer->outgoing_snapshot) {
    peer->next_index =
        std::max(Next(peer->match_index), std::min(reply.index, Next(log_.last_index())));
    peer->probing = true;
    peer->awaiting_reply = false;
  }
  UpdateConfirmedRound();
}

void node::Handle(const kernel::host_id& sender, const snapshot_reply& reply) {
  internal::peer_progress* peer =
      RecordReply(sender, reply.term, reply.round, reply.disk, reply.bootstrap);
  if (peer == nullptr) return;
  if (reply.complete) {
    peer->match_index = std::max(peer->match_index, std::min(reply.snapshot_index, commit_index_));
    peer->next_index = std::max(peer->next_index, Next(peer->match_index));
    if (peer->outgoing_snapshot && peer->outgoing_snapshot->index <= reply.snapshot_index) {
      peer->outgoing_snapshot.reset();
      peer->next_index = Next(peer->match_index);
      peer->probing = true;
    }
    peer->awaiting_reply = false;
    AdvanceCommitIndex();
  } else if (peer->outgoing_snapshot && peer->outgoing_snapshot->index == reply.snapshot_index) {
    peer->snapshot_offset =
        std::min<std::uint64_t>(reply.offset, peer->outgoing_snapshot->data.bytes.size());
    peer->awaiting_reply = false;
  }
  UpdateConfirmedRound();
}

bool node::HasSendWindow(const internal::peer_progress& peer) const {
  return peer.probing ||
         (peer.next_index.value() - peer.match_index.value() <= kMaxInFlightEntries &&
          peer.bytes_in_flight < kMaxInFlightBytes);
}

bool node::IsCaughtUp(const internal::peer_progress& peer) const {
  return peer.match_index.value() + kMaxPromotionLag >= commit_index_.value();
}

bool node::HasMessageFor(const internal::peer_progress& peer) const {
  if (peer.awaiting_reply) return false;
  if (peer.outgoing_snapshot || peer.next_index <= log_.base_index()) return true;
  if (peer.next_index <= log_.last_index()) return HasSendWindow(peer);
  return !peer.probing && peer.sent_commit_index < commit_index_;
}

// Sends entries or a snapshot piece that the host is missing, within the limits on what is in
// flight. While a reply is outstanding, sends only a heartbeat without content: its reply tells
// whether the content arrived, and the same content isn't sent repeatedly to a host that is down.
void node::SendAppendOrSnapshot(const kernel::host_id& host, internal::peer_progress& peer) {
  const kernel::heartbeat_round round = MakeRound(state_.term, round_counter_);
  if (!peer.outgoing_snapshot && peer.next_index <= log_.base_index()) {
    peer.outgoing_snapshot = snapshot_;
    peer.snapshot_offset = 0;
  }
  if (peer.outgoing_snapshot) {
    const snapshot& outgoing = *peer.outgoing_snapshot;
    install_snapshot install{state_.term,
                             outgoing.index,
                             outgoing.term,
                             outgoing.configuration,
                             peer.snapshot_offset,
                             outgoing.data.bytes.size(),
                             {},
                             round,
                             confirmed_round_};
    if (!peer.awaiting_reply) {
      install.piece.bytes = outgoing.data.bytes.substr(peer.snapshot_offset, kSnapshotPieceBytes);
    }
    peer.awaiting_reply = true;
    Send(host, std::move(install));
    return;
  }
  const kernel::log_index previous = Previous(peer.next_index);
  append_entries append{state_.term,   previous, *log_.TermAt(previous), {},
                        commit_index_, round,    confirmed_round_};
  if (HasSendWindow(peer) && !peer.awaiting_reply) {
    append.entries = log_.Slice(peer.next_index, kMaxBatchEntries, kMaxBatchBytes);
  }
  for (const log_entry& entry : append.entries) {
    peer.bytes_in_flight += MaxEncodedBytes(entry);
  }
  if (peer.probing) {
    peer.awaiting_reply = true;
  } else {
    peer.next_index = kernel::log_index(peer.next_index.value() + append.entries.size());
    peer.sent_commit_index = commit_index_;
  }
  Send(host, std::move(append));
}

void node::StartHeartbeatRound(bool voters_only) {
  if (round_counter_ == std::numeric_limits<std::uint32_t>::max()) {
    BecomeFollower(state_.term, std::nullopt);
    return;
  }
  ++round_counter_;
  for (pending_read& read : pending_reads_) {
    if (read.round != kernel::heartbeat_round() || !HasCommittedInCurrentTerm()) continue;
    read.index = commit_index_;
    read.round = MakeRound(state_.term, round_counter_);
  }
  for (auto& [host, peer] : progress_) {
    if (voters_only && !IsVoter(configuration(), host)) continue;
    SendAppendOrSnapshot(host, peer);
  }
  UpdateConfirmedRound();
}

void node::UpdateConfirmedRound() {
  if (role_ != role::kLeader) return;
  std::vector<kernel::heartbeat_round> rounds;
  for (const kernel::host_id& host : configuration().voters) {
    if (host == self_) {
      rounds.push_back(MakeRound(state_.term, round_counter_));
    } else if (CountsAsVoter(host)) {
      rounds.push_back(progress_[host].acknowledged_round);
    }
  }
  if (rounds.size() < Quorum()) return;
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  confirmed_round_ = std::max(confirmed_round_, rounds[Quorum() - 1]);
  const auto is_confirmed = [&](const pending_read& read) {
    return read.round != kernel::heartbeat_round() && read.round <= confirmed_round_;
  };
  for (const pending_read& read : pending_reads_) {
    if (is_confirmed(read)) ReplyToRead(read, read.index);
  }
  std::erase_if(pending_reads_, is_confirmed);
  StartReadRound();
}

void node::AdvanceCommitIndex() {
  if (role_ != role::kLeader) return;
  std::vector<kernel::log_index> stored_indexes;
  for (const kernel::host_id& host : configuration().voters) {
    if (host == self_) {
      stored_indexes.push_back(durable_index_);
    } else if (CountsAsVoter(host)) {
      stored_indexes.push_back(progress_[host].match_index);
    }
  }
  if (stored_indexes.size() < Quorum()) return;
  std::sort(stored_indexes.begin(), stored_indexes.end(), std::greater<>());
  const kernel::log_index majority_index = stored_indexes[Quorum() - 1];
  // An entry of an earlier term may still be replaced although a majority has stored it; it is
  // committed together with a later entry of this term.
  if (majority_index <= commit_index_ || log_.TermAt(majority_index) != state_.term) return;
  SetCommitIndex(majority_index);
  if (!IsVoter(configuration(), self_) && configurations_.rbegin()->first <= commit_index_) {
    BecomeFollower(state_.term, std::nullopt);
    return;
  }
  StartReadRound();
}

void node::SetCommitIndex(kernel::log_index new_commit_index) {
  new_commit_index = std::min(new_commit_index, log_.last_index());
  if (new_commit_index <= commit_index_) return;
  if (role_ == role::kLeader) {
    for (kernel::log_index index = Next(commit_index_); index <= new_commit_index;
         index = Next(index)) {
      backlog_bytes_ -= std::min(backlog_bytes_, MaxEncodedBytes(log_.EntryAt(index)));
    }
    // The next tick sends the new commit index to the other hosts.
    next_heartbeat_ = now_;
  }
  commit_index_ = new_commit_index;
}

void node::CheckQuorum() {
  if (now_ - leadership_start_ < kElectionTimeoutMax) return;
  std::size_t reachable_voters = 0;
  for (const kernel::host_id& host : configuration().voters) {
    const bool is_reachable =
        host == self_ ||
        (CountsAsVoter(host) && now_ - progress_[host].last_contact < kElectionTimeoutMax);
    if (is_reachable) ++reachable_voters;
  }
  if (reachable_voters < Quorum()) BecomeFollower(state_.term, std::nullopt);
}

std::optional<kernel::log_index> node::Propose(kernel::byte_string payload,
                                               kernel::time_point now) {
  AdvanceClock(now);
  if (role_ != role::kLeader || payload.bytes.size() > kMaxPayloadBytes) return std::nullopt;
  log_entry proposed{state_.term, Next(log_.last_index()), entry_kind::kCommand,
                     std::move(payload)};
  const std::size_t bytes = MaxEncodedBytes(proposed);
  if (log_.last_index().value() - commit_index_.value() >= kMaxBacklogEntries ||
      backlog_bytes_ + bytes > kMaxBacklogBytes) {
    return std::nullopt;
  }
  backlog_bytes_ += bytes;
  AppendToLog(std::move(proposed));
  return log_.last_index();
}

bool node::MayChangeConfiguration() const {
  return role_ == role::kLeader && HasCommittedInCurrentTerm() &&
         configurations_.rbegin()->first <= commit_index_;
}

bool node::ProposeConfiguration(group_configuration configuration, kernel::time_point now) {
  AdvanceClock(now);
  if (!MayChangeConfiguration()) return false;
  const group_configuration& current = this->configuration();
  std::vector<kernel::host_id> hosts = configuration.voters;
  hosts.insert(hosts.end(), configuration.learners.begin(), configuration.learners.end());
  if (configuration.voters.empty() || hosts.size() > kMaxHosts || HasDuplicates(hosts)) {
    return false;
  }
  std::size_t changes = 0;
  for (const kernel::host_id& host : current.voters) {
    if (!IsVoter(configuration, host)) ++changes;
  }
  configuration.disks.clear();
  for (const kernel::host_id& host : hosts) {
    const disk_record* record = FindDiskRecord(current, host);
    if (IsVoter(configuration, host) && !IsVoter(current, host)) {
      ++changes;
      const auto found = progress_.find(host);
      if (record == nullptr || found == progress_.end()) return false;
      if (!found->second.has_replied || found->second.disk != record->disk ||
          !IsCaughtUp(found->second)) {
        return false;
      }
    }
    if (record == nullptr) continue;
    // A host that awaits promotion on its new disk keeps that state while the rest of the group
    // changes.
    const bool promote =
        record->promote && IsLearner(current, host) && IsLearner(configuration, host);
    configuration.disks.push_back(disk_record{host, record->disk, promote});
  }
  if (changes > 1) return false;
  AppendConfiguration(std::move(configuration));
  return true;
}

void node::AppendConfiguration(group_configuration configuration) {
  log_entry entry{state_.term, Next(log_.last_index()), entry_kind::kConfiguration, {}};
  entry.configuration = std::move(configuration);
  AppendToLog(std::move(entry));
  UpdateTrackedPeers();
}

// Adds missing disk records, demotes voters whose disk changed to learners, and promotes them again
// once they have caught up. Each step is one configuration entry and changes at most one voter.
void node::ReconcileDiskRecords() {
  if (!MayChangeConfiguration()) return;
  group_configuration next = configuration();
  bool records_added = false;
  const auto add_record = [&](const kernel::host_id& host, kernel::disk_id disk) {
    if (FindDiskRecord(next, host) != nullptr || disk == kernel::disk_id()) return;
    next.disks.push_back(disk_record{host, disk, false});
    records_added = true;
  };
  add_record(self_, disk_);
  for (const auto& [host, peer] : progress_) {
    if (peer.has_replied && (peer.bootstrap || IsLearner(next, host))) add_record(host, peer.disk);
  }
  if (records_added) {
    AppendConfiguration(std::move(next));
    return;
  }
  for (const auto& entry : progress_) {
    const kernel::host_id& host = entry.first;
    const internal::peer_progress& peer = entry.second;
    if (!peer.has_replied) continue;
    const disk_record* known_disk = FindDiskRecord(next, host);
    const bool replaced = known_disk == nullptr || known_disk->disk != peer.disk;
    const bool promotable =
        !replaced && known_disk->promote && IsLearner(next, host) && IsCaughtUp(peer);
    if (!replaced && !promotable) continue;
    const bool was_voter = IsVoter(next, host);
    const bool promote = replaced && (was_voter || (known_disk != nullptr && known_disk->promote));
    std::erase(next.voters, host);
    std::erase(next.learners, host);
    (promotable ? next.voters : next.learners).push_back(host);
    std::erase_if(next.disks, [&](const disk_record& existing) { return existing.host == host; });
    next.disks.push_back(disk_record{host, peer.disk, promote});
    AppendConfiguration(std::move(next));
    return;
  }
}

std::vector<peer_status> node::PeerStatuses() const {
  std::vector<peer_status> peers;
  if (role_ != role::kLeader) return peers;
  for (const auto& [host, progress] : progress_) {
    const disk_record* known_disk = FindDiskRecord(configuration(), host);
    const bool same_disk = known_disk != nullptr && known_disk->disk == progress.disk;
    // For a host that has not replied yet, the time counts from the start of this leader's term.
    const kernel::time_point last_contact_time =
        progress.has_replied ? progress.last_contact
                             : std::max(progress.last_contact, leadership_start_);
    peers.push_back({host, now_ - last_contact_time,
                     progress.has_replied && same_disk && IsCaughtUp(progress)});
  }
  return peers;
}

std::optional<kernel::microseconds> node::TimeSinceLeaderContact() const {
  if (role_ == role::kLeader) return kernel::microseconds::zero();
  if (!last_leader_contact_) return std::nullopt;
  return now_ - *last_leader_contact_;
}

// ---- Reads.

void node::RequestReadIndex(kernel::nonce nonce, kernel::time_point now) {
  AdvanceClock(now);
  const kernel::nonce request(random_.NextU64());
  const bool too_many_reads = local_reads_.size() >= kMaxPendingReads;
  if (!leader_ || too_many_reads) {
    completed_reads_.push_back(read_index_result{nonce, std::nullopt});
    return;
  }
  local_reads_[request] = local_read{nonce, now_ + kReadTimeout};
  if (role_ == role::kLeader) {
    Handle(self_, read_index{request});
  } else {
    Send(*leader_, read_index{request});
  }
}

void node::Handle(const kernel::host_id& sender, const read_index& request) {
  const pending_read read{sender, request.request, {}, {}};
  if (role_ != role::kLeader || pending_reads_.size() >= kMaxPendingReads) {
    ReplyToRead(read, std::nullopt);
    return;
  }
  pending_reads_.push_back(read);
  StartReadRound();
}

void node::Handle(const kernel::host_id& /*sender*/, const read_index_reply& reply) {
  const auto found = local_reads_.find(reply.request);
  if (found == local_reads_.end()) return;
  completed_reads_.push_back(read_index_result{found->second.nonce, reply.index});
  local_reads_.erase(found);
}

// Starts a heartbeat round for reads that have none yet, unless a round for earlier reads is in
// progress: reads that arrive during a round share the next one.
void node::StartReadRound() {
  if (role_ != role::kLeader || !HasCommittedInCurrentTerm()) return;
  bool has_new_reads = false;
  for (const pending_read& read : pending_reads_) {
    if (read.round != kernel::heartbeat_round()) return;
    has_new_reads = true;
  }
  if (has_new_reads) StartHeartbeatRound(/*voters_only=*/true);
}

void node::ReplyToRead(const pending_read& read, std::optional<kernel::log_index> index) {
  if (read.requester == self_) {
    Handle(self_, read_index_reply{read.request_nonce, index});
  } else {
    Send(read.requester, read_index_reply{read.request_nonce, index});
  }
}

void node::FailPendingReads() {
  for (const pending_read& read : pending_reads_) ReplyToRead(read, std::nullopt);
  pending_reads_.clear();
}

// ---- Storage and output.

void node::Persisted() {
  durable_index_ = taken_index_;
  AdvanceCommitIndex();
}

void node::Compact(kernel::log_index index, kernel::byte_string state) {
  const kernel::log_index snapshot_index = snapshot_ ? snapshot_->index : kernel::log_index();
  if (index <= snapshot_index || index > commit_index_ || index > delivered_index_) return;
  snapshot compacted{index, *log_.TermAt(index), {}, std::move(state)};
  const auto next_configuration = configurations_.upper_bound(index);
  compacted.configuration = std::prev(next_configuration)->second;
  snapshot_ = std::make_shared<const snapshot>(std::move(compacted));
  compaction_pending_ = true;
  kernel::log_index base = index;
  std::size_t bytes = 0;
  while (base > log_.base_index() && index.value() - base.value() < kRetainedEntries) {
    bytes += MaxEncodedBytes(log_.EntryAt(base));
    if (bytes > kRetainedBytes) break;
    base = Previous(base);
  }
  log_.CompactTo(base);
  // The configuration in effect at the new base is kept.
  configurations_.erase(configurations_.begin(),
                        std::prev(configurations_.upper_bound(log_.base_index())));
}

bool node::HasReady() const {
  if (state_ != taken_state_ || snapshot_install_pending_ || compaction_pending_) return true;
  if (taken_index_ < log_.last_index() || delivered_index_ < commit_index_) return true;
  if (!messages_.empty() || !completed_reads_.empty()) return true;
  return std::any_of(progress_.begin(), progress_.end(),
                     [&](const auto& peer) { return HasMessageFor(peer.second); });
}

ready node::TakeReady() {
  ready result;
  for (auto& [host, peer] : progress_) {
    while (HasMessageFor(peer)) SendAppendOrSnapshot(host, peer);
  }
  if (state_ != taken_state_) result.state = taken_state_ = state_;
  if (snapshot_install_pending_) result.snapshot = *snapshot_;
  if (compaction_pending_) result.compacted = *snapshot_;
  snapshot_install_pending_ = compaction_pending_ = false;
  result.entries = log_.Slice(Next(taken_index_), std::numeric_limits<std::size_t>::max(),
                              std::numeric_limits<std::size_t>::max());
  taken_index_ = log_.last_index();
  result.messages = std::exchange(messages_, {});
  result.reads = std::exchange(completed_reads_, {});
  const kernel::log_index last_delivered(
      std::min(commit_index_.value(), delivered_index_.value() + kMaxCommittedPerReady));
  if (delivered_index_ < last_delivered) {
    result.committed =
        log_.Slice(Next(delivered_index_), last_delivered.value() - delivered_index_.value(),
                   std::numeric_limits<std::size_t>::max());
    delivered_index_ = last_delivered;
  }
  return result;
}

}  // namespace cornelweir::replication
