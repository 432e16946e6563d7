#ifndef CORNELWEIR_PLUGINS_CONTROL_REPLICA_H_
#define CORNELWEIR_PLUGINS_CONTROL_REPLICA_H_

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

namespace cornelweir::plugins::control {

namespace state = cornelweir::control;

// This host's copy of the replicated state machine: runs the node of the replicated log, makes
// durable what it asks for, and applies what is committed.
class replica {
 public:
  // No outcome: the command may or may not take effect later.
  using outcome_callback = std::function<void(std::optional<state::outcome>)>;
  using read_callback = std::function<void(bool proved)>;

  struct handlers {
    std::function<void(const replication::envelope&)> send;
    std::function<void(const state::applied_effects&)> applied;
    std::function<void(bool is_leader)> leadership_changed;
  };

  replica(loop::event_loop& loop, replication::node node, std::shared_ptr<storage::log_store> store,
          handlers callbacks);

  // Loads a snapshot that was found on disk. To be called before Start().
  void Restore(const replication::snapshot& snapshot);
  void Start();
  void Stop();

  void Receive(const replication::envelope& message);
  // Proposes a command on the leader. The outcome comes when the command has been applied.
  void Propose(state::command command, outcome_callback callback);
  // Calls back once this host has applied everything that was committed when it was called, or
  // when that can't be proved.
  void Read(read_callback callback);
  // Adds, promotes or removes a control host. False if this host is not the leader or if a change
  // is still in progress.
  bool ProposeConfiguration(const replication::group_configuration& configuration);

  const replication::node& node() const { return node_; }
  const state::state_machine& machine() const { return machine_; }
  kernel::log_index applied_index() const { return applied_; }
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
  void Tick();
  void ScheduleDrain();
  void Drain();
  bool Persist(const replication::ready& ready);
  void ApplyEntry(const replication::log_entry& entry);
  void FinishReads(const std::vector<replication::read_index_result>& reads);
  void ReleaseReads();
  void ExpireProposals();
  void CompactIfDue();
  void NoteLeadership();

  loop::event_loop& loop_;
  loop::timer tick_timer_;
  kernel::steady_clock_source clock_;
  replication::node node_;
  std::shared_ptr<storage::log_store> store_;
  handlers handlers_;
  state::state_machine machine_;
  kernel::log_index applied_;
  kernel::log_index compacted_;
  std::map<kernel::log_index, pending_proposal> proposals_;
  std::map<kernel::nonce, read_callback> reads_;
  std::vector<waiting_read> waiting_reads_;
  std::uint64_t next_nonce_ = 1;
  bool drain_scheduled_ = false;
  bool was_leader_ = false;
  // Set when the disk failed. A host that can't make anything durable must not take part.
  bool failed_ = false;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_REPLICA_H_
