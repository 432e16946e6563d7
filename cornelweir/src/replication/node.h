#ifndef CORNELWEIR_SRC_REPLICATION_NODE_H_
#define CORNELWEIR_SRC_REPLICATION_NODE_H_

#include <cstddef>
#include <cstdint>
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
#include "cornelweir/src/replication/message.h"
#include "cornelweir/src/replication/peer_progress.h"
#include "cornelweir/src/replication/peer_status.h"
#include "cornelweir/src/replication/ready.h"
#include "cornelweir/src/replication/replicated_log.h"
#include "cornelweir/src/replication/snapshot.h"

namespace cornelweir::replication {

// One host's part in the replicated log. Does no input or output: the owner passes in time,
// messages and proposals, and carries out what TakeReady() returns.
class node {
 public:
  // Lets time pass: starts elections, sends heartbeats, ends reads that took too long. To be called
  // at least every few milliseconds.
  void Tick(kernel::time_point now);

  // Takes a message from another host. One that is for another host is ignored.
  void Receive(const envelope& received, kernel::time_point now);

  // Appends a command. Empty if this host is not the leader, the payload is too large, or the
  // backlog is full. The command is accepted only when ready::committed holds it with the same
  // term; an entry of another term at its index means that it was dropped.
  std::optional<kernel::log_index> Propose(kernel::byte_string payload, kernel::time_point now);

  // Starts a change of the group by at most one voter. Refused unless this host leads, the change
  // before is committed, and a new voter is a learner that has been caught up. Disk records of the
  // argument are ignored; the leader fills them.
  bool ProposeConfiguration(group_configuration configuration, kernel::time_point now);

  // Asks for the index that a read must wait for. The answer is in ready::reads, exactly once.
  void RequestReadIndex(kernel::nonce nonce, kernel::time_point now);

  // Everything that has been taken by TakeReady() is durable.
  void Persisted();

  // Replaces the log up to index, which must be committed and applied, by the state there.
  void Compact(kernel::log_index index, kernel::byte_string state);

  bool HasReady() const;
  ready TakeReady();

  bool IsLeader() const { return role_ == role::kLeader; }
  // Up to where another host's log is known to match the leader's; 0 on a host that does not lead.
  kernel::log_index MatchIndex(const kernel::host_id& host) const {
    const auto found = progress_.find(host);
    return IsLeader() && found != progress_.end() ? found->second.match : kernel::log_index();
  }
  // The other hosts of the group as the leader sees them; empty on a host that does not lead.
  std::vector<peer_status> Peers() const;
  // How long ago this host heard from a leader; empty if it never did, zero on the leader.
  std::optional<kernel::microseconds> SinceLeader() const;
  std::optional<kernel::host_id> leader() const { return leader_; }
  kernel::term current_term() const { return state_.term; }
  kernel::log_index commit_index() const { return commit_; }
  // The latest heartbeat round that a majority confirmed, as far as this host knows: the term in
  // the upper and a counter in the lower 32 bits. Never goes back while the process runs.
  kernel::heartbeat_round confirmed_round() const { return confirmed_; }
  // The latest configuration in the log, committed or not.
  const group_configuration& configuration() const { return configurations_.rbegin()->second; }

 private:
  friend class node_builder;

  enum class role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

  struct pending_read {
    kernel::host_id origin;
    kernel::nonce request;
    // Set when the round that confirms it starts.
    kernel::log_index index;
    kernel::heartbeat_round round;
  };

  struct forwarded_read {
    kernel::nonce nonce;
    kernel::time_point deadline;
  };

  struct partial_snapshot {
    kernel::log_index index;
    kernel::term term;
    kernel::byte_string data;
  };

  node() : random_(0) {}

  void Observe(kernel::time_point now);
  void SetElectionTimer(kernel::microseconds shortest, kernel::microseconds longest);
  void ResetElectionTimer();
  void Send(const kernel::host_id& to, message body);

  // Elections.
  bool MayCampaign() const;
  bool IsUpToDate(kernel::term last_term, kernel::log_index last_index) const;
  bool HeardLeaderRecently() const;
  void BecomeFollower(kernel::term term, std::optional<kernel::host_id> leader);
  void Campaign(bool pre_vote);
  void CountVotes();
  void BecomeLeader();
  void Handle(const kernel::host_id& from, const request_vote& request);
  void Handle(const kernel::host_id& from, const vote& answer);

  // Following.
  bool AcceptLeader(const kernel::host_id& from, kernel::term term,
                    kernel::heartbeat_round confirmed);
  void Handle(const kernel::host_id& from, const append_entries& request);
  void Handle(const kernel::host_id& from, const install_snapshot& request);
  void InstallSnapshot(snapshot installed);
  void AppendToLog(log_entry entry);
  void TruncateLog(kernel::log_index from);

  // Leading.
  std::size_t Quorum() const { return configuration().voters.size() / 2 + 1; }
  bool CountsAsVoter(const kernel::host_id& host) const;
  bool HasCommittedInTerm() const;
  void SyncProgress();
  internal::peer_progress* Heard(const kernel::host_id& from, kernel::term term,
                                 kernel::heartbeat_round round, kernel::disk_id disk,
                                 bool bootstrap);
  void Handle(const kernel::host_id& from, const append_reply& answer);
  void Handle(const kernel::host_id& from, const snapshot_reply& answer);
  bool HasWindow(const internal::peer_progress& peer) const;
  bool IsCaughtUp(const internal::peer_progress& peer) const;
  bool WantsToSend(const internal::peer_progress& peer) const;
  void SendTo(const kernel::host_id& host, internal::peer_progress& peer);
  void StartRound(bool voters_only);
  void ConfirmRound();
  void AdvanceCommit();
  void SetCommit(kernel::log_index commit);
  void CheckQuorum();
  void AppendConfiguration(group_configuration configuration);
  bool MayChangeConfiguration() const;
  void MaintainConfiguration();

  // Reads.
  void Handle(const kernel::host_id& from, const read_index& request);
  void Handle(const kernel::host_id& from, const read_index_reply& answer);
  void StartReads();
  void AnswerRead(const pending_read& read, std::optional<kernel::log_index> index);
  void FailReads();

  kernel::host_id self_;
  kernel::disk_id disk_;
  bool bootstrap_ = false;
  kernel::seeded_random random_;

  durable_state state_;
  durable_state taken_state_;
  std::shared_ptr<const snapshot> snapshot_;
  bool install_pending_ = false;
  bool compaction_pending_ = false;
  internal::replicated_log log_;
  // Configurations by the index of their entries; the first is that of the snapshot.
  std::map<kernel::log_index, group_configuration> configurations_;

  role role_ = role::kFollower;
  std::optional<kernel::host_id> leader_;
  kernel::time_point now_;
  bool started_ = false;
  kernel::time_point election_deadline_;
  std::optional<kernel::time_point> leader_contact_;

  kernel::log_index commit_;
  // Up to here entries were handed out in ready::committed, in ready::entries, and are durable.
  kernel::log_index delivered_;
  kernel::log_index taken_;
  kernel::log_index durable_;

  std::set<kernel::host_id> votes_;
  std::map<kernel::host_id, internal::peer_progress> progress_;
  kernel::time_point heartbeat_due_;
  kernel::time_point leading_since_;
  std::size_t backlog_bytes_ = 0;
  std::uint64_t round_counter_ = 0;
  kernel::heartbeat_round confirmed_;
  std::optional<partial_snapshot> partial_;

  std::vector<pending_read> pending_reads_;
  std::map<kernel::nonce, forwarded_read> forwarded_reads_;
  std::vector<read_ready> reads_;
  std::vector<envelope> messages_;
};

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_NODE_H_
