#ifndef CORNELWEIR_SRC_REPLICATION_NODE_H_
#define CORNELWEIR_SRC_REPLICATION_NODE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cornelweir/src/kernel/byte_string.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/random_source.h"
#include "cornelweir/src/replication/durable_state.h"
#include "cornelweir/src/replication/group_configuration.h"
#include "cornelweir/src/replication/log_entry.h"
#include "cornelweir/src/replication/longest_sync.h"
#include "cornelweir/src/replication/message.h"
#include "cornelweir/src/replication/peer_progress.h"
#include "cornelweir/src/replication/peer_status.h"
#include "cornelweir/src/replication/promotion_rule.h"
#include "cornelweir/src/replication/ready.h"
#include "cornelweir/src/replication/replicated_log.h"
#include "cornelweir/src/replication/role.h"
#include "cornelweir/src/replication/snapshot.h"
#include "cornelweir/src/replication/voter_contact.h"

namespace cornelweir::replication {

// A host's member of the group that replicates the log. Does no input or output: the owner passes
// in the time, messages and proposals, and carries out what TakeReady() returns.
class node {
 public:
  // Runs what is due at the given time: starts elections, sends heartbeats, fails reads that timed
  // out. Must be called at least every few milliseconds.
  void Tick(kernel::time_point now);

  // Handles a message from another host. Ignores a message whose receiver is another host.
  void Receive(const envelope& received, kernel::time_point now);

  // Appends a command and returns its index. Empty if this host is not the leader, the payload is
  // too large, or the backlog is full. The command is committed only when ready::committed contains
  // it with the same term; an entry of another term at its index means that it was dropped.
  std::optional<kernel::log_index> Propose(kernel::byte_string payload, kernel::time_point now);

  // Starts a change of the group by at most one voter. Returns false unless this host is the
  // leader, the previous change is committed, and a new voter is a learner that the rule allows.
  // The disk records of the argument are ignored; the leader fills them in.
  bool ProposeConfiguration(group_configuration configuration, kernel::time_point now,
                            promotion_rule rule = promotion_rule::kCaughtUp);

  // Requests the index that a read must wait for. The result appears in ready::reads exactly once.
  void RequestReadIndex(kernel::nonce nonce, kernel::time_point now);

  // Must be called once everything that TakeReady() has returned so far is durable. The owner did
  // nothing else for sync_time until then, with a snapshot that it wrote: this time does not count
  // as silence of other hosts.
  void Persisted(kernel::microseconds sync_time = kernel::microseconds::zero());

  // Replaces the log up to index, which must be committed and applied, by a snapshot with the state
  // after that entry. Ignored otherwise.
  void Compact(kernel::log_index index, kernel::byte_string state);

  bool HasReady() const;
  ready TakeReady();

  bool IsLeader() const { return role_ == role::kLeader; }
  role current_role() const { return role_; }
  // The voters of the latest configuration, in its order, as of the latest Tick() or Receive(). A
  // follower of a working leader hears from that leader only.
  std::vector<voter_contact> VoterContacts() const;
  // The index up to which the log of another host is known to match the leader's; 0 if this host
  // isn't the leader.
  kernel::log_index MatchIndex(const kernel::host_id& host) const {
    const auto found = progress_.find(host);
    return IsLeader() && found != progress_.end() ? found->second.match_index : kernel::log_index();
  }
  // The other hosts of the group as the leader knows them; empty if this host isn't the leader.
  std::vector<peer_status> PeerStatuses() const;
  // The time since this host last heard from a leader, without the time of its own syncs; empty if
  // it never did, zero on the leader.
  std::optional<kernel::microseconds> TimeSinceLeaderContact() const;
  std::optional<kernel::host_id> leader() const { return leader_; }
  kernel::term current_term() const { return state_.term; }
  kernel::log_index commit_index() const { return commit_index_; }
  // The latest heartbeat round that a majority is known to have confirmed: the term in the upper
  // and a counter in the lower 32 bits. This node knows all entries that were committed before that
  // round. Never decreases while the process runs.
  kernel::heartbeat_round confirmed_round() const { return confirmed_round_; }
  // When the latest heartbeat round that a majority confirmed in this leader's term was sent, or a
  // little earlier. Empty if there is none or this host isn't the leader. No other host was the
  // leader of a later term at that time.
  std::optional<kernel::time_point> confirmed_round_sent_at() const {
    return IsLeader() ? confirmed_sent_at_ : std::nullopt;
  }
  // When this host last became the leader.
  kernel::time_point leadership_start() const { return leadership_start_; }
  // The latest configuration in the log, committed or not.
  const group_configuration& configuration() const { return configurations_.rbegin()->second; }

 private:
  friend class node_builder;

  struct pending_read {
    kernel::host_id origin_host;
    kernel::nonce request_nonce;
    // The commit index at the start of the heartbeat round that confirms the read, and that round;
    // both 0 until it starts.
    kernel::log_index index;
    kernel::heartbeat_round round;
  };

  struct local_read {
    kernel::nonce nonce;
    kernel::time_point deadline;
  };

  struct partial_snapshot {
    kernel::log_index index;
    kernel::term term;
    kernel::byte_string data;
  };

  node() : random_(0) {}

  void AdvanceClock(kernel::time_point now);
  void SetElectionTimer(kernel::microseconds min_timeout, kernel::microseconds max_timeout);
  void ResetElectionTimer();
  // The longest recent sync of a host, as far as this host knows.
  kernel::microseconds SyncTimeOf(const kernel::host_id& host) const;
  // The longest recent sync that a majority of the voters needs.
  kernel::microseconds MajoritySyncTime() const;
  // The time that the syncs of an exchange with a majority may take.
  kernel::microseconds SyncAllowance() const;
  void RecordSync(kernel::microseconds sync_time);
  void RecordReportedSync(const kernel::host_id& host, kernel::microseconds sync_time);
  void Send(const kernel::host_id& receiver, message body);
  void RecordContact(const kernel::host_id& sender);

  // Elections.
  bool MayCampaign() const;
  bool IsUpToDate(kernel::term last_term, kernel::log_index last_index) const;
  bool HasRecentLeaderContact() const;
  void BecomeFollower(kernel::term term, std::optional<kernel::host_id> leader);
  void Campaign(bool pre_vote);
  void CountVotes();
  void BecomeLeader();
  void Handle(const kernel::host_id& sender, const request_vote& request);
  void Handle(const kernel::host_id& sender, const vote& reply);

  // Follower.
  bool AcceptLeader(const kernel::host_id& sender, kernel::term term);
  void RecordConfirmedRound(const append_entries& request);
  void Handle(const kernel::host_id& sender, const append_entries& request);
  void Handle(const kernel::host_id& sender, const install_snapshot& request);
  void InstallSnapshot(snapshot installed);
  void AppendToLog(log_entry entry);
  void TruncateLog(kernel::log_index first_removed);

  // Leader.
  std::size_t Quorum() const { return configuration().voters.size() / 2 + 1; }
  bool CountsAsVoter(const kernel::host_id& host) const;
  bool HasCommittedInCurrentTerm() const;
  void UpdateTrackedPeers();
  internal::peer_progress* RecordReply(const kernel::host_id& sender, kernel::term term,
                                       kernel::heartbeat_round round, kernel::disk_id disk,
                                       bool bootstrap);
  void Handle(const kernel::host_id& sender, const append_reply& reply);
  void Handle(const kernel::host_id& sender, const snapshot_reply& reply);
  bool HasSendWindow(const internal::peer_progress& peer) const;
  bool IsCaughtUp(const internal::peer_progress& peer) const;
  bool HasMessageFor(const internal::peer_progress& peer) const;
  void SendAppendOrSnapshot(const kernel::host_id& host, internal::peer_progress& peer);
  void StartHeartbeatRound(bool voters_only);
  void UpdateConfirmedRound();
  void AdvanceCommitIndex();
  void SetCommitIndex(kernel::log_index new_commit_index);
  void CheckQuorum();
  void AppendConfiguration(group_configuration configuration);
  bool MayChangeConfiguration() const;
  bool MayPromote(const kernel::host_id& host, promotion_rule rule) const;
  void ReconcileDiskRecords();

  // Reads.
  void Handle(const kernel::host_id& sender, const read_index& request);
  void Handle(const kernel::host_id& sender, const read_index_reply& reply);
  void StartReadRound();
  void ReplyToRead(const pending_read& read, std::optional<kernel::log_index> index);
  void FailPendingReads();

  kernel::host_id self_;
  kernel::disk_id disk_;
  bool bootstrap_ = false;
  kernel::seeded_random random_;

  durable_state state_;
  durable_state taken_state_;
  std::shared_ptr<const snapshot> snapshot_;
  bool snapshot_install_pending_ = false;
  bool compaction_pending_ = false;
  internal::replicated_log log_;
  // Configurations by the index of their entries; the first is the one in effect at the base of the
  // log.
  std::map<kernel::log_index, group_configuration> configurations_;

  role role_ = role::kFollower;
  std::optional<kernel::host_id> leader_;
  kernel::time_point now_;
  bool started_ = false;
  kernel::time_point election_deadline_;
  std::optional<kernel::time_point> last_leader_contact_;
  // When the last message of each other voter was received. For reports only.
  std::map<kernel::host_id, kernel::time_point> last_contacts_;

  kernel::log_index commit_index_;
  // The last index that was returned in ready::committed, that was returned in ready::entries, and
  // that is durable.
  kernel::log_index delivered_index_;
  kernel::log_index taken_index_;
  kernel::log_index durable_index_;

  // The pre-votes for the next term, and the votes for the current one if this host is a candidate
  // in it. Votes of voters with slow disks may arrive when pre-votes are requested again.
  std::set<kernel::host_id> pre_votes_;
  std::set<kernel::host_id> votes_;
  // Whether votes of the current term may still make this host its leader: it is a candidate in it,
  // and has not led it yet.
  bool counts_votes_ = false;
  // Syncs as the voters state them, and the majority's as leaders state it.
  std::map<kernel::host_id, internal::longest_sync> sync_times_;
  internal::longest_sync majority_sync_;
  std::map<kernel::host_id, internal::peer_progress> progress_;
  kernel::time_point next_heartbeat_;
  kernel::time_point leadership_start_;
  // From when on the leader expects replies, without the time of its own syncs.
  kernel::time_point quorum_check_start_;
  std::size_t backlog_bytes_ = 0;
  std::uint64_t round_counter_ = 0;
  kernel::heartbeat_round confirmed_round_;
  // The rounds of this leader's term that no majority has confirmed yet, and when each was started,
  // before its first message.
  std::deque<std::pair<kernel::heartbeat_round, kernel::time_point>> unconfirmed_rounds_;
  std::optional<kernel::time_point> confirmed_sent_at_;
  std::optional<partial_snapshot> partial_snapshot_;

  std::vector<pending_read> pending_reads_;
  std::map<kernel::nonce, local_read> local_reads_;
  std::vector<read_index_result> completed_reads_;
  std::vector<envelope> messages_;
};

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_NODE_H_
