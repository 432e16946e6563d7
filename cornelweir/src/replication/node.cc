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

kernel::heartbeat_round RoundOf(kernel::term term, std::uint64_t counter) {
  return kernel::heartbeat_round((term.value() << 32U) | counter);
}

// Whether a host on this disk is the one that the configuration means. Without a record, any disk
// of the initial configuration is.
bool IsRecorded(const group_configuration& configuration, const kernel::host_id& host,
                kernel::disk_id disk, bool bootstrap) {
  const disk_record* record = FindDisk(configuration, host);
  return record != nullptr ? record->disk == disk : bootstrap;
}

// Whether the entries are what a leader can have sent. Others would break the log or, without
// voters, the group.
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

void node::Observe(kernel::time_point now) {
  if (!started_) {
    started_ = true;
    now_ = now;
    SetElectionTimer(kFirstElectionMin, kFirstElectionMax);
  }
  now_ = std::max(now_, now);
}

void node::SetElectionTimer(kernel::microseconds shortest, kernel::microseconds longest) {
  const auto spread = static_cast<std::uint64_t>((longest - shortest).count());
  election_deadline_ = now_ + shortest +
                       kernel::microseconds(static_cast<kernel::microseconds::rep>(
                           kernel::UniformBelow(random_, spread)));
}

void node::ResetElectionTimer() { SetElectionTimer(kElectionTimeoutMin, kElectionTimeoutMax); }

void node::Send(const kernel::host_id& to, message body) {
  messages_.push_back(envelope{self_, to, std::move(body)});
}

void node::Tick(kernel::time_point now) {
  Observe(now);
  for (auto read = forwarded_reads_.begin(); read != forwarded_reads_.end();) {
    if (read->second.deadline <= now_) {
      reads_.push_back(read_ready{read->second.nonce, std::nullopt});
      read = forwarded_reads_.erase(read);
    } else {
      ++read;
    }
  }
  if (role_ == role::kLeader) {
    CheckQuorum();
    if (role_ != role::kLeader) return;
    if (now_ >= heartbeat_due_) {
      heartbeat_due_ = now_ + kHeartbeatInterval;
      StartRound(/*voters_only=*/false);
      MaintainConfiguration();
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
  Observe(now);
  if (received.to != self_ || received.from == self_) return;
  std::visit([&](const auto& body) { Handle(received.from, body); }, received.body);
}

// ---- Elections.

// A host that the latest configuration removes or demotes is needed as a candidate until that entry
// is committed: it may be the only one that holds it, and then it refuses its vote to all others.
bool node::MayCampaign() const {
  const auto qualifies = [&](const group_configuration& considered) {
    return IsVoter(considered, self_) && IsRecorded(considered, self_, disk_, bootstrap_);
  };
  const auto latest = configurations_.rbegin();
  if (qualifies(latest->second)) return true;
  const auto previous = std::next(latest);
  return latest->first > commit_ && previous != configurations_.rend() &&
         qualifies(previous->second);
}

bool node::IsUpToDate(kernel::term last_term, kernel::log_index last_index) const {
  return last_term > log_.last_term() ||
         (last_term == log_.last_term() && last_index >= log_.last());
}

bool node::HeardLeaderRecently() const {
  if (role_ == role::kLeader) return true;
  return leader_contact_ && now_ - *leader_contact_ < kElectionTimeoutMin;
}

void node::BecomeFollower(kernel::term term, std::optional<kernel::host_id> leader) {
  if (term > state_.term) state_ = durable_state{term, std::nullopt};
  if (role_ == role::kLeader) {
    FailReads();
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
    const disk_record* record = FindDisk(configuration(), host);
    Send(host,
         request_vote{pre_vote ? Next(state_.term) : state_.term, log_.last(), log_.last_term(),
                      pre_vote, record != nullptr ? record->disk : kernel::disk_id()});
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
  leading_since_ = now_;
  round_counter_ = 0;
  votes_.clear();
  progress_.clear();
  SyncProgress();
  backlog_bytes_ = 0;
  AppendToLog(log_entry{state_.term, Next(log_.last()), entry_kind::kNoop, {}});
  heartbeat_due_ = now_ + kHeartbeatInterval;
  StartRound(/*voters_only=*/false);
}

void node::Handle(const kernel::host_id& from, const request_vote& request) {
  const auto answer = [&](bool granted, kernel::term term) {
    Send(from, vote{term, granted, request.pre_vote, disk_, bootstrap_});
  };
  if (request.term < state_.term) return answer(false, state_.term);
  // While a leader is alive, a host that can't hear it must not depose it.
  if (HeardLeaderRecently()) return;
  if (!request.pre_vote && request.term > state_.term) BecomeFollower(request.term, std::nullopt);
  // The candidate counts on what this host remembers. Only the recorded disk, or a disk of the
  // initial configuration while there is no record, has the memory of that voter.
  const bool remembers =
      request.voter_disk == kernel::disk_id() ? bootstrap_ : request.voter_disk == disk_;
  if (!remembers || !IsUpToDate(request.last_term, request.last_index)) {
    return answer(false, state_.term);
  }
  if (request.pre_vote) return answer(request.term > state_.term, request.term);
  if (state_.voted_for && *state_.voted_for != from) return answer(false, state_.term);
  state_.voted_for = from;
  ResetElectionTimer();
  answer(true, state_.term);
}

void node::Handle(const kernel::host_id& from, const vote& answer) {
  if (!answer.granted && answer.term > state_.term) {
    BecomeFollower(answer.term, std::nullopt);
    return;
  }
  const bool awaited = answer.pre_vote
                           ? role_ == role::kPreCandidate && answer.term == Next(state_.term)
                           : role_ == role::kCandidate && answer.term == state_.term;
  if (!awaited || !answer.granted) return;
  if (!IsVoter(configuration(), from) ||
      !IsRecorded(configuration(), from, answer.disk, answer.bootstrap)) {
    return;
  }
  votes_.insert(from);
  CountVotes();
}

// ---- Following.

bool node::AcceptLeader(const kernel::host_id& from, kernel::term term,
                        kernel::heartbeat_round confirmed) {
  if (term < state_.term || (term == state_.term && role_ == role::kLeader)) return false;
  if (term > state_.term || role_ != role::kFollower) BecomeFollower(term, from);
  leader_ = from;
  leader_contact_ = now_;
  ResetElectionTimer();
  confirmed_ = std::max(confirmed_, confirmed);
  return true;
}

void node::Handle(const kernel::host_id& from, const append_entries& request) {
  if (!IsWellFormed(request)) return;
  append_reply reply{state_.term, false, {}, request.round, disk_, bootstrap_};
  if (!AcceptLeader(from, request.term, request.confirmed)) {
    Send(from, reply);
    return;
  }
  reply.term = state_.term;
  const kernel::log_index end(request.previous_index.value() + request.entries.size());
  if (end < commit_) {
    // An old message; what it has is committed here already.
    reply.accepted = true;
    reply.index = commit_;
    Send(from, reply);
    return;
  }
  // Entries up to the base are committed and thus equal.
  if (request.previous_index >= log_.base() &&
      log_.TermAt(request.previous_index) != request.previous_term) {
    reply.index = request.previous_index > log_.last() ? Next(log_.last())
                                                       : log_.FirstOfTerm(request.previous_index);
    reply.index = std::max(reply.index, Next(commit_));
    Send(from, reply);
    return;
  }
  for (const log_entry& entry : request.entries) {
    if (entry.index <= log_.base()) continue;
    const std::optional<kernel::term> held = log_.TermAt(entry.index);
    if (held == entry.term) continue;
    // A conflict with a committed entry can't come from a correct leader.
    if (entry.index <= commit_) return;
    if (held) TruncateLog(entry.index);
    AppendToLog(entry);
  }
  SetCommit(std::min(request.commit, end));
  reply.accepted = true;
  reply.index = end;
  Send(from, reply);
}

void node::Handle(const kernel::host_id& from, const install_snapshot& request) {
  snapshot_reply reply{state_.term, request.snapshot_index, 0, false, request.round, disk_,
                       bootstrap_};
  if (!AcceptLeader(from, request.term, request.confirmed)) {
    Send(from, reply);
    return;
  }
  reply.term = state_.term;
  const bool held = log_.TermAt(request.snapshot_index) == request.snapshot_term;
  if (held) SetCommit(request.snapshot_index);
  if (held || request.snapshot_index <= commit_) {
    reply.complete = true;
    Send(from, reply);
    return;
  }
  if (request.total > kMaxSnapshotBytes || request.configuration.voters.empty()) return;
  if (!partial_ || partial_->index != request.snapshot_index ||
      partial_->term != request.snapshot_term) {
    partial_ = partial_snapshot{request.snapshot_index, request.snapshot_term, {}};
  }
  std::string& data = partial_->data.bytes;
  if (request.offset == data.size() && data.size() + request.piece.bytes.size() <= request.total) {
    data += request.piece.bytes;
  }
  reply.offset = data.size();
  if (data.size() == request.total) {
    InstallSnapshot(snapshot{request.snapshot_index, request.snapshot_term, request.configuration,
                             std::move(partial_->data)});
    reply.complete = true;
  }
  Send(from, reply);
}

void node::InstallSnapshot(snapshot installed) {
  partial_.reset();
  log_ = internal::replicated_log(installed.index, installed.term);
  configurations_.clear();
  configurations_[installed.index] = installed.configuration;
  commit_ = delivered_ = taken_ = durable_ = installed.index;
  snapshot_ = std::make_shared<const snapshot>(std::move(installed));
  install_pending_ = true;
  compaction_pending_ = false;
}

void node::AppendToLog(log_entry entry) {
  if (entry.configuration) configurations_[entry.index] = *entry.configuration;
  log_.Append(std::move(entry));
}

void node::TruncateLog(kernel::log_index from) {
  log_.TruncateFrom(from);
  taken_ = std::min(taken_, Previous(from));
  durable_ = std::min(durable_, Previous(from));
  configurations_.erase(configurations_.lower_bound(from), configurations_.end());
}

// ---- Leading.

bool node::CountsAsVoter(const kernel::host_id& host) const {
  if (host == self_) return true;
  const auto found = progress_.find(host);
  return found != progress_.end() && found->second.heard &&
         IsRecorded(configuration(), host, found->second.disk, found->second.bootstrap);
}

bool node::HasCommittedInTerm() const { return log_.TermAt(commit_) == state_.term; }

void node::SyncProgress() {
  std::map<kernel::host_id, internal::peer_progress> kept;
  const auto keep = [&](const kernel::host_id& host) {
    if (host == self_) return;
    const auto found = progress_.find(host);
    if (found != progress_.end()) {
      kept[host] = std::move(found->second);
      return;
    }
    internal::peer_progress fresh;
    fresh.next = Next(log_.last());
    fresh.last_heard = now_;
    kept[host] = std::move(fresh);
  };
  for (const kernel::host_id& host : configuration().voters) keep(host);
  for (const kernel::host_id& host : configuration().learners) keep(host);
  progress_ = std::move(kept);
}

internal::peer_progress* node::Heard(const kernel::host_id& from, kernel::term term,
                                     kernel::heartbeat_round round, kernel::disk_id disk,
                                     bool bootstrap) {
  if (term > state_.term) {
    BecomeFollower(term, std::nullopt);
    return nullptr;
  }
  if (term < state_.term || role_ != role::kLeader) return nullptr;
  const auto found = progress_.find(from);
  if (found == progress_.end()) return nullptr;
  internal::peer_progress& peer = found->second;
  if (peer.heard && peer.disk != disk) {
    // Another disk: what the earlier one acknowledged is not on this one.
    peer = internal::peer_progress{};
    peer.next = Next(log_.last());
  }
  peer.heard = true;
  peer.last_heard = now_;
  peer.disk = disk;
  peer.bootstrap = bootstrap;
  peer.round = std::max(peer.round, round);
  return &peer;
}

void node::Handle(const kernel::host_id& from, const append_reply& answer) {
  internal::peer_progress* peer =
      Heard(from, answer.term, answer.round, answer.disk, answer.bootstrap);
  if (peer == nullptr) return;
  if (answer.accepted) {
    peer->match = std::max(peer->match, std::min(answer.index, log_.last()));
    peer->next = std::max(peer->next, Next(peer->match));
    peer->probing = false;
    peer->waiting = false;
    peer->bytes_in_flight = 0;
    if (peer->next > log_.base()) peer->sending.reset();
    AdvanceCommit();
  } else if (!peer->sending) {
    peer->next = std::max(Next(peer->match), std::min(answer.index, Next(log_.last())));
    peer->probing = true;
    peer->waiting = false;
  }
  ConfirmRound();
}

void node::Handle(const kernel::host_id& from, const snapshot_reply& answer) {
  internal::peer_progress* peer =
      Heard(from, answer.term, answer.round, answer.disk, answer.bootstrap);
  if (peer == nullptr) return;
  if (answer.complete) {
    peer->match = std::max(peer->match, std::min(answer.snapshot_index, commit_));
    peer->next = std::max(peer->next, Next(peer->match));
    if (peer->sending && peer->sending->index <= answer.snapshot_index) {
      peer->sending.reset();
      peer->next = Next(peer->match);
      peer->probing = true;
    }
    peer->waiting = false;
    AdvanceCommit();
  } else if (peer->sending && peer->sending->index == answer.snapshot_index) {
    peer->offset = std::min<std::uint64_t>(answer.offset, peer->sending->data.bytes.size());
    peer->waiting = false;
  }
  ConfirmRound();
}

bool node::HasWindow(const internal::peer_progress& peer) const {
  return peer.probing || (peer.next.value() - peer.match.value() <= kMaxInFlightEntries &&
                          peer.bytes_in_flight < kMaxInFlightBytes);
}

bool node::IsCaughtUp(const internal::peer_progress& peer) const {
  return peer.match.value() + kMaxPromotionLag >= commit_.value();
}

bool node::WantsToSend(const internal::peer_progress& peer) const {
  if (peer.waiting) return false;
  if (peer.sending || peer.next <= log_.base()) return true;
  if (peer.next <= log_.last()) return HasWindow(peer);
  return !peer.probing && peer.commit_sent < commit_;
}

// Sends what the host is missing, as far as it may be in flight. While an answer is awaited, only a
// heartbeat without content: its answer tells whether the content arrived, and a host that is down
// isn't sent the same content again and again.
void node::SendTo(const kernel::host_id& host, internal::peer_progress& peer) {
  const kernel::heartbeat_round round = RoundOf(state_.term, round_counter_);
  if (!peer.sending && peer.next <= log_.base()) {
    peer.sending = snapshot_;
    peer.offset = 0;
  }
  if (peer.sending) {
    const snapshot& sent = *peer.sending;
    install_snapshot piece{
        state_.term, sent.index, sent.term, sent.configuration, peer.offset, sent.data.bytes.size(),
        {},          round,      confirmed_};
    if (!peer.waiting) piece.piece.bytes = sent.data.bytes.substr(peer.offset, kSnapshotPieceBytes);
    peer.waiting = true;
    Send(host, std::move(piece));
    return;
  }
  const kernel::log_index previous = Previous(peer.next);
  append_entries append{state_.term, previous,  *log_.TermAt(previous), {}, commit_,
                        round,       confirmed_};
  if (HasWindow(peer) && !peer.waiting) {
    append.entries = log_.Slice(peer.next, kMaxBatchEntries, kMaxBatchBytes);
  }
  for (const log_entry& entry : append.entries) {
    peer.bytes_in_flight += EncodedBound(entry);
  }
  if (peer.probing) {
    peer.waiting = true;
  } else {
    peer.next = kernel::log_index(peer.next.value() + append.entries.size());
    peer.commit_sent = commit_;
  }
  Send(host, std::move(append));
}

void node::StartRound(bool voters_only) {
  if (round_counter_ == std::numeric_limits<std::uint32_t>::max()) {
    BecomeFollower(state_.term, std::nullopt);
    return;
  }
  ++round_counter_;
  for (pending_read& read : pending_reads_) {
    if (read.round != kernel::heartbeat_round() || !HasCommittedInTerm()) continue;
    read.index = commit_;
    read.round = RoundOf(state_.term, round_counter_);
  }
  for (auto& [host, peer] : progress_) {
    if (voters_only && !IsVoter(configuration(), host)) continue;
    SendTo(host, peer);
  }
  ConfirmRound();
}

void node::ConfirmRound() {
  if (role_ != role::kLeader) return;
  std::vector<kernel::heartbeat_round> rounds;
  for (const kernel::host_id& host : configuration().voters) {
    if (host == self_) {
      rounds.push_back(RoundOf(state_.term, round_counter_));
    } else if (CountsAsVoter(host)) {
      rounds.push_back(progress_[host].round);
    }
  }
  if (rounds.size() < Quorum()) return;
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  confirmed_ = std::max(confirmed_, rounds[Quorum() - 1]);
  const auto confirmed = [&](const pending_read& read) {
    return read.round != kernel::heartbeat_round() && read.round <= confirmed_;
  };
  for (const pending_read& read : pending_reads_) {
    if (confirmed(read)) AnswerRead(read, read.index);
  }
  std::erase_if(pending_reads_, confirmed);
  StartReads();
}

void node::AdvanceCommit() {
  if (role_ != role::kLeader) return;
  std::vector<kernel::log_index> matches;
  for (const kernel::host_id& host : configuration().voters) {
    if (host == self_) {
      matches.push_back(durable_);
    } else if (CountsAsVoter(host)) {
      matches.push_back(progress_[host].match);
    }
  }
  if (matches.size() < Quorum()) return;
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const kernel::log_index candidate = matches[Quorum() - 1];
  // An entry of an earlier term may still be replaced although a majority holds it; it is committed
  // by an entry of this term after it.
  if (candidate <= commit_ || log_.TermAt(candidate) != state_.term) return;
  SetCommit(candidate);
  if (!IsVoter(configuration(), self_) && configurations_.rbegin()->first <= commit_) {
    BecomeFollower(state_.term, std::nullopt);
    return;
  }
  StartReads();
}

void node::SetCommit(kernel::log_index commit) {
  commit = std::min(commit, log_.last());
  if (commit <= commit_) return;
  if (role_ == role::kLeader) {
    for (kernel::log_index index = Next(commit_); index <= commit; index = Next(index)) {
      backlog_bytes_ -= std::min(backlog_bytes_, EncodedBound(log_.At(index)));
    }
    // The others learn of it at the next tick.
    heartbeat_due_ = now_;
  }
  commit_ = commit;
}

void node::CheckQuorum() {
  if (now_ - leading_since_ < kElectionTimeoutMax) return;
  std::size_t heard = 0;
  for (const kernel::host_id& host : configuration().voters) {
    const bool recent = host == self_ || (CountsAsVoter(host) &&
                                          now_ - progress_[host].last_heard < kElectionTimeoutMax);
    if (recent) ++heard;
  }
  if (heard < Quorum()) BecomeFollower(state_.term, std::nullopt);
}

std::optional<kernel::log_index> node::Propose(kernel::byte_string payload,
                                               kernel::time_point now) {
  Observe(now);
  if (role_ != role::kLeader || payload.bytes.size() > kMaxPayloadBytes) return std::nullopt;
  log_entry proposed{state_.term, Next(log_.last()), entry_kind::kCommand, std::move(payload)};
  const std::size_t bytes = EncodedBound(proposed);
  if (log_.last().value() - commit_.value() >= kMaxBacklogEntries ||
      backlog_bytes_ + bytes > kMaxBacklogBytes) {
    return std::nullopt;
  }
  backlog_bytes_ += bytes;
  AppendToLog(std::move(proposed));
  return log_.last();
}

bool node::MayChangeConfiguration() const {
  return role_ == role::kLeader && HasCommittedInTerm() &&
         configurations_.rbegin()->first <= commit_;
}

bool node::ProposeConfiguration(group_configuration configuration, kernel::time_point now) {
  Observe(now);
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
    const disk_record* record = FindDisk(current, host);
    if (IsVoter(configuration, host) && !IsVoter(current, host)) {
      ++changes;
      const auto found = progress_.find(host);
      if (record == nullptr || found == progress_.end()) return false;
      if (!found->second.heard || found->second.disk != record->disk ||
          !IsCaughtUp(found->second)) {
        return false;
      }
    }
    if (record == nullptr) continue;
    // A host that is being repaired stays so while the rest of the group changes.
    const bool promote =
        record->promote && IsLearner(current, host) && IsLearner(configuration, host);
    configuration.disks.push_back(disk_record{host, record->disk, promote});
  }
  if (changes > 1) return false;
  AppendConfiguration(std::move(configuration));
  return true;
}

void node::AppendConfiguration(group_configuration configuration) {
  log_entry entry{state_.term, Next(log_.last()), entry_kind::kConfiguration, {}};
  entry.configuration = std::move(configuration);
  AppendToLog(std::move(entry));
  SyncProgress();
}

// Records disks that the group learned of, replaces voters whose disk changed by learners, and
// makes those voters again once they are caught up. Each step is one configuration entry and
// changes at most one voter.
void node::MaintainConfiguration() {
  if (!MayChangeConfiguration()) return;
  group_configuration next = configuration();
  bool recorded = false;
  const auto record = [&](const kernel::host_id& host, kernel::disk_id disk) {
    if (FindDisk(next, host) != nullptr || disk == kernel::disk_id()) return;
    next.disks.push_back(disk_record{host, disk, false});
    recorded = true;
  };
  record(self_, disk_);
  for (const auto& [host, peer] : progress_) {
    if (peer.heard && (peer.bootstrap || IsLearner(next, host))) record(host, peer.disk);
  }
  if (recorded) {
    AppendConfiguration(std::move(next));
    return;
  }
  for (const auto& entry : progress_) {
    const kernel::host_id& host = entry.first;
    const internal::peer_progress& peer = entry.second;
    if (!peer.heard) continue;
    const disk_record* known = FindDisk(next, host);
    const bool replaced = known == nullptr || known->disk != peer.disk;
    const bool promotable =
        !replaced && known->promote && IsLearner(next, host) && IsCaughtUp(peer);
    if (!replaced && !promotable) continue;
    const bool was_voter = IsVoter(next, host);
    const bool promote = replaced && (was_voter || (known != nullptr && known->promote));
    std::erase(next.voters, host);
    std::erase(next.learners, host);
    (promotable ? next.voters : next.learners).push_back(host);
    std::erase_if(next.disks, [&](const disk_record& old) { return old.host == host; });
    next.disks.push_back(disk_record{host, peer.disk, promote});
    AppendConfiguration(std::move(next));
    return;
  }
}

std::vector<peer_status> node::Peers() const {
  std::vector<peer_status> peers;
  if (role_ != role::kLeader) return peers;
  for (const auto& [host, progress] : progress_) {
    const disk_record* known = FindDisk(configuration(), host);
    const bool same_disk = known != nullptr && known->disk == progress.disk;
    // A host that was never heard counts from the start of this leader's term.
    const kernel::time_point since =
        progress.heard ? progress.last_heard : std::max(progress.last_heard, leading_since_);
    peers.push_back({host, now_ - since, progress.heard && same_disk && IsCaughtUp(progress)});
  }
  return peers;
}

std::optional<kernel::microseconds> node::SinceLeader() const {
  if (role_ == role::kLeader) return kernel::microseconds::zero();
  if (!leader_contact_) return std::nullopt;
  return now_ - *leader_contact_;
}

// ---- Reads.

void node::RequestReadIndex(kernel::nonce nonce, kernel::time_point now) {
  Observe(now);
  const kernel::nonce request(random_.NextU64());
  const bool full = forwarded_reads_.size() >= kMaxPendingReads;
  if (!leader_ || full) {
    reads_.push_back(read_ready{nonce, std::nullopt});
    return;
  }
  forwarded_reads_[request] = forwarded_read{nonce, now_ + kReadTimeout};
  if (role_ == role::kLeader) {
    Handle(self_, read_index{request});
  } else {
    Send(*leader_, read_index{request});
  }
}

void node::Handle(const kernel::host_id& from, const read_index& request) {
  const pending_read read{from, request.request, {}, {}};
  if (role_ != role::kLeader || pending_reads_.size() >= kMaxPendingReads) {
    AnswerRead(read, std::nullopt);
    return;
  }
  pending_reads_.push_back(read);
  StartReads();
}

void node::Handle(const kernel::host_id& /*from*/, const read_index_reply& answer) {
  const auto found = forwarded_reads_.find(answer.request);
  if (found == forwarded_reads_.end()) return;
  reads_.push_back(read_ready{found->second.nonce, answer.index});
  forwarded_reads_.erase(found);
}

// Starts a round for reads that have none, unless one for earlier reads is in progress: the reads
// that arrive meanwhile share the next one.
void node::StartReads() {
  if (role_ != role::kLeader || !HasCommittedInTerm()) return;
  bool waiting = false;
  for (const pending_read& read : pending_reads_) {
    if (read.round != kernel::heartbeat_round()) return;
    waiting = true;
  }
  if (waiting) StartRound(/*voters_only=*/true);
}

void node::AnswerRead(const pending_read& read, std::optional<kernel::log_index> index) {
  if (read.origin == self_) {
    Handle(self_, read_index_reply{read.request, index});
  } else {
    Send(read.origin, read_index_reply{read.request, index});
  }
}

void node::FailReads() {
  for (const pending_read& read : pending_reads_) AnswerRead(read, std::nullopt);
  pending_reads_.clear();
}

// ---- The owner's side.

void node::Persisted() {
  durable_ = taken_;
  AdvanceCommit();
}

void node::Compact(kernel::log_index index, kernel::byte_string state) {
  const kernel::log_index covered = snapshot_ ? snapshot_->index : kernel::log_index();
  if (index <= covered || index > commit_ || index > delivered_) return;
  snapshot taken{index, *log_.TermAt(index), {}, std::move(state)};
  const auto after = configurations_.upper_bound(index);
  taken.configuration = std::prev(after)->second;
  snapshot_ = std::make_shared<const snapshot>(std::move(taken));
  compaction_pending_ = true;
  kernel::log_index base = index;
  std::size_t bytes = 0;
  while (base > log_.base() && index.value() - base.value() < kRetainedEntries) {
    bytes += EncodedBound(log_.At(base));
    if (bytes > kRetainedBytes) break;
    base = Previous(base);
  }
  log_.MoveBase(base);
  // The configuration in effect at the new base is kept.
  configurations_.erase(configurations_.begin(),
                        std::prev(configurations_.upper_bound(log_.base())));
}

bool node::HasReady() const {
  if (state_ != taken_state_ || install_pending_ || compaction_pending_) return true;
  if (taken_ < log_.last() || delivered_ < commit_) return true;
  if (!messages_.empty() || !reads_.empty()) return true;
  return std::any_of(progress_.begin(), progress_.end(),
                     [&](const auto& peer) { return WantsToSend(peer.second); });
}

ready node::TakeReady() {
  ready taken;
  for (auto& [host, peer] : progress_) {
    while (WantsToSend(peer)) SendTo(host, peer);
  }
  if (state_ != taken_state_) taken.state = taken_state_ = state_;
  if (install_pending_) taken.snapshot = *snapshot_;
  if (compaction_pending_) taken.compacted = *snapshot_;
  install_pending_ = compaction_pending_ = false;
  taken.entries = log_.Slice(Next(taken_), std::numeric_limits<std::size_t>::max(),
                             std::numeric_limits<std::size_t>::max());
  taken_ = log_.last();
  taken.messages = std::exchange(messages_, {});
  taken.reads = std::exchange(reads_, {});
  const kernel::log_index end(
      std::min(commit_.value(), delivered_.value() + kMaxCommittedPerReady));
  if (delivered_ < end) {
    taken.committed = log_.Slice(Next(delivered_), end.value() - delivered_.value(),
                                 std::numeric_limits<std::size_t>::max());
    delivered_ = end;
  }
  return taken;
}

}  // namespace cornelweir::replication
