#ifndef CORNELWEIR_PLUGINS_CONTROL_REPLICA_H_
#define CORNELWEIR_PLUGINS_CONTROL_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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

// This host's replica of the state machine: runs the node of the replicated log, stores the state
// and entries that it returns, and applies committed entries.
class replica {
 public:
  // Gets no outcome if the result is unknown: the command may or may not take effect later.
  using outcome_callback = std::function<void(std::optional<state::outcome>)>;
  using read_callback = std::function<void(bool is_current)>;

  struct handlers {
    std::function<void(const replication::envelope&)> send;
    std::function<void(const state::applied_effects&)> applied;
    std::function<void(bool is_leader)> leadership_changed;
  };

  replica(loop::event_loop& loop, replication::node node, std::shared_ptr<storage::log_store> store,
          handlers callbacks);

  // Replaces the state with that of a snapshot. A snapshot from disk is restored before Start(). If
  // it can't be decoded, the replica fails.
  void Restore(const replication::snapshot& snapshot);
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
  bool ProposeConfiguration(const replication::group_configuration& configuration);

  const replication::node& node() const { return node_; }
  const state::state_machine& machine() const { return machine_; }
  kernel::log_index applied_index() const { return applied_index_; }
  bool failed() const { return failed_; }

 private:
  struct pending_proposal {
    kernel::term term;
    kernel::time_point expires_at;
    outcome_callback callback;
  };

  struct waiting_read {
    kernel::log_index index;
    read_callback callback;
  };

  kernel::time_point Now() const { return clock_.Now(); }
  // Whether proposals and reads are answered.
  bool IsActive() const { return !failed_ && !stopped_; }
  void Tick();
  void ScheduleProcessReady();
  void ProcessReady();
  // Proposes the payloads as consecutive entries. The last one has the outcome.
  void ProposePayloads(std::vector<kernel::byte_string> payloads, outcome_callback callback);
  bool Persist(const replication::ready& ready);
  void ApplyEntry(const replication::log_entry& entry);
  // Applies a record. Returns no outcome if the entry doesn't complete one.
  std::optional<state::outcome> ApplyRecord(const replication::log_entry& entry,
                                            state::applied_effects& effects);
  void HandleReadResults(const std::vector<replication::read_index_result>& reads);
  void CompleteAppliedReads();
  void ExpireProposals();
  void FailPending();
  void CompactIfDue();
  void UpdateLeadership();

  loop::event_loop& loop_;
  loop::timer tick_timer_;
  kernel::steady_clock_source clock_;
  replication::node node_;
  std::shared_ptr<storage::log_store> store_;
  handlers handlers_;
  state::state_machine machine_;
  kernel::log_index applied_index_;
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
  // Set when the storage failed. A host without durable storage must not take part in the group.
  bool failed_ = false;
  bool stopped_ = false;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_REPLICA_H_
