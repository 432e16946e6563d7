#ifndef CORNELWEIR_PLUGINS_CONTROL_REPLICA_H_
#define CORNELWEIR_PLUGINS_CONTROL_REPLICA_H_

#include <boost/leaf.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cornelweir/control.h"
#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/replication.h"
#include "cornelweir/storage.h"
#include "plugins/control/log_payload.h"

namespace cornelweir::plugins::control {

// This host's replica of the state machine: runs the durable node of the replicated log and applies
// committed entries. The state is kept while the storage fails, since committed entries stay
// committed; proposals and reads are answered at once without a result then.
class replica {
 public:
  // Gets no outcome if the result is unknown: the command may or may not take effect later.
  using outcome_callback = std::function<void(std::optional<state::outcome>)>;
  using read_callback = std::function<void(bool is_current)>;

  struct handlers {
    std::function<void(const replication::envelope&)> send;
    std::function<void(const state::applied_effects&)> applied;
    std::function<void(bool is_leader)> leadership_changed;
    // The data folder can't be used without an operator.
    std::function<void(const storage::storage_error&)> storage_unusable;
  };

  using durable_node = storage::durable_node<storage::log_store>;

  // The group is the initial one, until the data folder has been read.
  replica(loop::event_loop& loop, storage::log_store store, durable_node::node_factory make_node,
          const replication::group_configuration& initial_group, handlers callbacks);

  // Reads the data folder. Fails if it can't be used without an operator; a disk that is full or
  // gives errors is tried again after Start().
  boost::leaf::result<void> Open();
  void Start();
  // Stops and reports no outcome for every pending proposal and read, and for all later ones.
  void Stop();
  // Whether every proposal and read has been answered.
  bool IsIdle() const {
    return proposals_.empty() && pending_reads_.empty() && waiting_reads_.empty();
  }

  void Receive(const replication::envelope& message);
  // Proposes a command, which succeeds on the leader only. Calls back with the outcome once the
  // command has been applied, or with none after protocol::kSubmissionTimeout.
  void Propose(state::command command, outcome_callback callback);
  // Proposes a command that PackCommand() returned, possibly on another host.
  void ProposePacked(const std::string& packed, outcome_callback callback);
  // Calls back with true once this host has applied every entry that was committed at the time of
  // the call, or with false if that can't be proved.
  void Read(read_callback callback);
  // Adds, promotes or removes a control host. Returns false if this host is not the leader or if
  // another change is in progress.
  bool ProposeConfiguration(const replication::group_configuration& configuration,
                            replication::promotion_rule rule);
  // Whether a command of the log, or a snapshot, has been applied here.
  bool HasAppliedCommand() const { return has_applied_command_; }

  // While the storage fails, a node that knows of no leader.
  const replication::node& node() const { return durable_.node(); }
  const state::state_machine& machine() const { return machine_; }
  kernel::log_index applied_index() const { return applied_index_; }
  const durable_node& storage() const { return durable_; }
  // Whether the storage takes writes, so that this host can take part in the group.
  bool IsStorageHealthy() const { return durable_.IsHealthy(); }
  // How long it took to write and sync the last batch of the log. Empty before the first one.
  std::optional<kernel::microseconds> last_sync_duration() const { return last_sync_duration_; }

 private:
  struct pending_proposal {
    kernel::term term;
    kernel::time_point expires_at;
    outcome_callback callback;
  };

  struct waiting_read {
    kernel::log_index index;
    kernel::time_point expires_at;
    read_callback callback;
  };

  kernel::time_point Now() const { return clock_.Now(); }
  // Whether proposals and reads are answered.
  bool IsActive() const { return IsStorageHealthy() && !stopped_; }
  durable_node::handlers StorageHandlers();
  void OnStorageLoaded(const storage::recovered_state& content);
  void OnStorageFailed(const storage::storage_error& error);
  void OnStorageRecovered(const storage::storage_outage& outage);
  void OnSnapshotPostponed(const storage::storage_error& error);
  // Replaces the state with that of a snapshot. An older snapshot is ignored.
  void Restore(const replication::snapshot& snapshot);
  void Tick();
  void ScheduleProcessReady();
  void ProcessReady();
  // Stores and returns what the node has ready; measures the time if that writes to the log.
  std::optional<replication::ready> TakeDurable();
  // Proposes the payloads as consecutive entries. The last one has the outcome.
  void ProposePayloads(std::vector<kernel::byte_string> payloads, outcome_callback callback);
  void ApplyEntry(const replication::log_entry& entry);
  // Applies a record. Returns no outcome if the entry doesn't complete one.
  std::optional<state::outcome> ApplyRecord(const replication::log_entry& entry,
                                            state::applied_effects& effects);
  void HandleReadResults(const std::vector<replication::read_index_result>& reads);
  void CompleteAppliedReads();
  void ExpireProposals();
  void ExpireReads();
  void FailPending();
  bool IsCompactionDue() const;
  void CompactIfDue();
  void UpdateLeadership();

  loop::event_loop& loop_;
  loop::timer tick_timer_;
  kernel::steady_clock_source clock_;
  handlers handlers_;
  durable_node durable_;
  state::state_machine machine_;
  kernel::log_index applied_index_;
  bool has_applied_command_ = false;
  kernel::log_index compacted_index_;
  // Bytes of the payloads that were applied since the last snapshot.
  std::size_t applied_bytes_ = 0;
  log_record_reader reader_;
  std::map<kernel::log_index, pending_proposal> proposals_;
  std::map<kernel::nonce, read_callback> pending_reads_;
  std::vector<waiting_read> waiting_reads_;
  std::uint64_t next_nonce_ = 1;
  bool processing_scheduled_ = false;
  bool was_leader_ = false;
  // The term in which this host was the leader most recently.
  kernel::term led_term_;
  bool started_ = false;
  bool stopped_ = false;
  // When a snapshot that was not written is tried again.
  std::optional<kernel::time_point> postponed_snapshot_due_;
  std::optional<kernel::microseconds> last_sync_duration_;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_REPLICA_H_
