#include "cornelweir/src/replication/node.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <variant>

#include "cornelweir/src/replication/limits.h"

namespace cornelweir::replication {

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

void node::ResetElectionTimer() {
  const kernel::microseconds allowance = SyncAllowance();
  SetElectionTimer(kElectionTimeoutMin + allowance, kElectionTimeoutMax + allowance);
}

kernel::microseconds node::SyncTimeOf(const kernel::host_id& host) const {
  const auto found = sync_times_.find(host);
  return found != sync_times_.end() ? found->second.Longest(now_) : kernel::microseconds::zero();
}

// A slow minority does not delay the end of a failed leader.
kernel::microseconds node::MajoritySyncTime() const {
  std::vector<kernel::microseconds> sync_times;
  for (const kernel::host_id& host : configuration().voters) {
    sync_times.push_back(SyncTimeOf(host));
  }
  if (sync_times.empty()) return kernel::microseconds::zero();
  std::sort(sync_times.begin(), sync_times.end());
  return std::max(sync_times[Quorum() - 1], majority_sync_.Longest(now_));
}

kernel::microseconds node::SyncAllowance() const {
  return kSyncsPerExchange * std::min<kernel::microseconds>(MajoritySyncTime(), kMaxAllowedSync);
}

void node::RecordSync(kernel::microseconds sync_time) {
  sync_times_[self_].Record(sync_time, now_);
  election_deadline_ += sync_time;
  quorum_check_start_ += sync_time;
  if (last_leader_contact_) *last_leader_contact_ += sync_time;
  for (auto& [host, peer] : progress_) peer.last_contact += sync_time;
}

void node::RecordReportedSync(const kernel::host_id& host, kernel::microseconds sync_time) {
  if (sync_time > kernel::microseconds::zero() && IsVoter(configuration(), host)) {
    sync_times_[host].Record(sync_time, now_);
  }
}

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
  RecordContact(received.from);
  std::visit([&](const auto& body) { Handle(received.from, body); }, received.body);
}

// Keeps entries of voters only, since any number of hosts may join and leave over time.
void node::RecordContact(const kernel::host_id& sender) {
  if (!IsVoter(configuration(), sender)) return;
  last_contacts_[sender] = now_;
  if (last_contacts_.size() <= configuration().voters.size()) return;
  std::erase_if(last_contacts_,
                [this](const auto& contact) { return !IsVoter(configuration(), contact.first); });
}

std::vector<voter_contact> node::VoterContacts() const {
  std::vector<voter_contact> contacts;
  for (const kernel::host_id& host : configuration().voters) {
    voter_contact contact{host, std::nullopt};
    const auto found = last_contacts_.find(host);
    if (host == self_) {
      contact.age = kernel::microseconds::zero();
    } else if (found != last_contacts_.end()) {
      contact.age = now_ - found->second;
    }
    contacts.push_back(std::move(contact));
  }
  return contacts;
}

void node::Persisted(kernel::microseconds sync_time) {
  durable_index_ = taken_index_;
  if (sync_time > kernel::microseconds::zero()) RecordSync(sync_time);
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
