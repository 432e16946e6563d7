// How a node leads: replication, commitment and changes of the group.

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

#include "cornelweir/src/replication/limits.h"
#include "cornelweir/src/replication/node.h"

namespace cornelweir::replication {
namespace {

kernel::heartbeat_round MakeRound(kernel::term term, std::uint64_t counter) {
  return kernel::heartbeat_round((term.value() << 32U) | counter);
}

bool HasDuplicates(std::vector<kernel::host_id> hosts) {
  std::sort(hosts.begin(), hosts.end());
  return std::adjacent_find(hosts.begin(), hosts.end()) != hosts.end();
}

}  // namespace

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
  RecordReportedSync(sender, reply.sync_time);
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
                             round};
    if (!peer.awaiting_reply) {
      install.piece.bytes = outgoing.data.bytes.substr(peer.snapshot_offset, kSnapshotPieceBytes);
    }
    peer.awaiting_reply = true;
    Send(host, std::move(install));
    return;
  }
  const kernel::log_index previous = Previous(peer.next_index);
  append_entries append{state_.term,   previous, *log_.TermAt(previous), {},
                        commit_index_, round,    confirmed_round_,       MajoritySyncTime()};
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
  unconfirmed_rounds_.emplace_back(MakeRound(state_.term, round_counter_), now_);
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
  // Before its first entry is committed, a leader may not know that entries of earlier terms are.
  if (role_ != role::kLeader || !HasCommittedInCurrentTerm()) return;
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
  while (!unconfirmed_rounds_.empty() && unconfirmed_rounds_.front().first <= confirmed_round_) {
    confirmed_sent_at_ = unconfirmed_rounds_.front().second;
    unconfirmed_rounds_.pop_front();
  }
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
  const kernel::microseconds max_silence = kElectionTimeoutMax + SyncAllowance();
  if (now_ - quorum_check_start_ < max_silence) return;
  std::size_t reachable_voters = 0;
  for (const kernel::host_id& host : configuration().voters) {
    const bool is_reachable =
        host == self_ || (CountsAsVoter(host) && now_ - progress_[host].last_contact < max_silence);
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

// Any learner may be promoted without risk to what is committed: one without a recorded disk is
// neither counted nor asked for its vote, and one with a recorded disk counts for what it has
// stored.
bool node::MayPromote(const kernel::host_id& host, promotion_rule rule) const {
  if (!IsLearner(configuration(), host)) return false;
  if (rule == promotion_rule::kAnyLearner) return true;
  const disk_record* record = FindDiskRecord(configuration(), host);
  const auto found = progress_.find(host);
  return record != nullptr && found != progress_.end() && found->second.has_replied &&
         found->second.disk == record->disk && IsCaughtUp(found->second);
}

bool node::ProposeConfiguration(group_configuration configuration, kernel::time_point now,
                                promotion_rule rule) {
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
      if (!MayPromote(host, rule)) return false;
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

}  // namespace cornelweir::replication
