#include "plugins/control/replica.h"

#include <utility>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "cornelweir/protocol.h"
#include "plugins/wall_clock.h"

namespace cornelweir::plugins::control {
namespace internal {

constexpr kernel::milliseconds kTickPeriod{10};
// Entries between two snapshots: bounds the log that a restart has to read.
constexpr std::uint64_t kCompactionInterval = 10'000;

}  // namespace internal

replica::replica(loop::event_loop& loop, replication::node node,
                 std::shared_ptr<storage::log_store> store, handlers callbacks)
    : loop_(loop),
      tick_timer_(loop),
      node_(std::move(node)),
      store_(std::move(store)),
      handlers_(std::move(callbacks)) {}

void replica::Restore(const replication::snapshot& snapshot) {
  if (snapshot.index == kernel::log_index()) return;
  const auto decoded = codec::Decode<state::state_snapshot>(snapshot.data.bytes);
  if (!decoded) {
    failed_ = true;
    logging::event(logging::event_id::kStorageFailed).With("what", "snapshot can't be decoded");
    return;
  }
  machine_.Restore(decoded.value());
  applied_ = snapshot.index;
  compacted_ = snapshot.index;
}

void replica::Start() {
  tick_timer_.StartPeriodic(internal::kTickPeriod, [this] { Tick(); });
}

void replica::Stop() { tick_timer_.Cancel(); }

void replica::Tick() {
  if (failed_) return;
  node_.Tick(Now());
  ExpireProposals();
  ScheduleDrain();
}

void replica::Receive(const replication::envelope& message) {
  if (failed_) return;
  node_.Receive(message, Now());
  ScheduleDrain();
}

void replica::Propose(state::command command, outcome_callback callback) {
  if (failed_) {
    callback(std::nullopt);
    return;
  }
  const state::log_record record{SinceEpochMs().count(), std::move(command)};
  const auto index = node_.Propose(kernel::byte_string{codec::Encode(record)}, Now());
  if (!index) {
    callback(std::nullopt);
    return;
  }
  proposals_.emplace(*index,
                     pending_proposal{node_.current_term(), Now() + protocol::kSubmissionTimeout,
                                      std::move(callback)});
  ScheduleDrain();
}

void replica::Read(read_callback callback) {
  if (failed_) {
    callback(false);
    return;
  }
  const kernel::nonce nonce(next_nonce_++);
  reads_.emplace(nonce, std::move(callback));
  node_.RequestReadIndex(nonce, Now());
  ScheduleDrain();
}

bool replica::ProposeConfiguration(const replication::group_configuration& configuration) {
  if (failed_ || !node_.ProposeConfiguration(configuration, Now())) return false;
  ScheduleDrain();
  return true;
}

// All proposals and messages of one turn of the loop share one sync of the log.
void replica::ScheduleDrain() {
  if (drain_scheduled_ || !node_.HasReady()) return;
  drain_scheduled_ = true;
  loop_.Post([this] {
    drain_scheduled_ = false;
    Drain();
  });
}

void replica::Drain() {
  while (!failed_ && node_.HasReady()) {
    const replication::ready ready = node_.TakeReady();
    if (!Persist(ready)) return;
    node_.Persisted();
    for (const replication::envelope& message : ready.messages) handlers_.send(message);
    if (ready.snapshot) {
      Restore(*ready.snapshot);
      handlers_.applied({.table_changed = true,
                         .members_changed = true,
                         .quarantine_changed = true,
                         .policy_changed = true});
    }
    for (const replication::log_entry& entry : ready.committed) ApplyEntry(entry);
    FinishReads(ready.reads);
  }
  ReleaseReads();
  NoteLeadership();
  CompactIfDue();
}

bool replica::Persist(const replication::ready& ready) {
  const bool nothing = !ready.state && ready.entries.empty() && !ready.snapshot && !ready.compacted;
  if (nothing) return true;
  const auto stored = [&]() -> boost::leaf::result<void> {
    if (ready.snapshot) BOOST_LEAF_CHECK(store_->SaveSnapshot(*ready.snapshot));
    BOOST_LEAF_CHECK(store_->Append(ready.state, ready.entries));
    if (ready.compacted) BOOST_LEAF_CHECK(store_->SaveSnapshot(*ready.compacted));
    return store_->Sync();
  }();
  if (stored) return true;
  failed_ = true;
  logging::event(logging::event_id::kStorageFailed).With("what", "the log can't be written");
  return false;
}

void replica::ApplyEntry(const replication::log_entry& entry) {
  applied_ = entry.index;
  state::applied_effects effects;
  std::optional<state::outcome> outcome;
  if (entry.kind == replication::entry_kind::kCommand) {
    const auto record = codec::Decode<state::log_record>(entry.payload.bytes);
    if (record) {
      outcome = machine_.Apply(entry.index, record.value(), effects);
    } else {
      // Every host refuses the same bytes, so their states stay equal.
      outcome = state::refused_outcome{"the command can't be decoded"};
    }
  }
  handlers_.applied(effects);
  const auto pending = proposals_.find(entry.index);
  if (pending == proposals_.end()) return;
  const pending_proposal proposal = std::move(pending->second);
  proposals_.erase(pending);
  const bool own = proposal.term == entry.term;
  proposal.callback(own ? std::move(outcome) : std::nullopt);
}

void replica::FinishReads(const std::vector<replication::read_index_result>& reads) {
  for (const replication::read_index_result& read : reads) {
    const auto found = reads_.find(read.nonce);
    if (found == reads_.end()) continue;
    read_callback callback = std::move(found->second);
    reads_.erase(found);
    if (read.index) {
      waiting_reads_.push_back({*read.index, std::move(callback)});
    } else {
      callback(false);
    }
  }
}

void replica::ReleaseReads() {
  std::vector<waiting_read> waiting = std::move(waiting_reads_);
  waiting_reads_.clear();
  for (waiting_read& read : waiting) {
    if (read.index <= applied_) {
      read.callback(true);
    } else {
      waiting_reads_.push_back(std::move(read));
    }
  }
}

void replica::ExpireProposals() {
  const kernel::time_point now = Now();
  for (auto next = proposals_.begin(); next != proposals_.end();) {
    if (next->second.expires_at > now) {
      ++next;
      continue;
    }
    const outcome_callback callback = std::move(next->second.callback);
    next = proposals_.erase(next);
    callback(std::nullopt);
  }
}

void replica::NoteLeadership() {
  if (node_.IsLeader() == was_leader_) return;
  was_leader_ = node_.IsLeader();
  logging::event(was_leader_ ? logging::event_id::kLeaderElected
                             : logging::event_id::kLeadershipLost)
      .With("term", node_.current_term());
  handlers_.leadership_changed(was_leader_);
}

void replica::CompactIfDue() {
  if (failed_ || applied_.value() < compacted_.value() + internal::kCompactionInterval) return;
  compacted_ = applied_;
  node_.Compact(applied_, kernel::byte_string{codec::Encode(machine_.Snapshot())});
  ScheduleDrain();
}

}  // namespace cornelweir::plugins::control
