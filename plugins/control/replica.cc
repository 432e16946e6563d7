#include "plugins/control/replica.h"

#include <utility>
#include <variant>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "cornelweir/protocol.h"
#include "cornelweir/src/codec/direct_cbor.h"
#include "plugins/wall_clock.h"

namespace cornelweir::plugins::control {
namespace internal {

constexpr kernel::milliseconds kTickPeriod{10};
// Number of entries between two snapshots. It limits the log that a restart has to read.
constexpr std::uint64_t kCompactionInterval = 10'000;
// Bytes of the entries between two snapshots. It limits the log that is held in memory.
constexpr std::size_t kCompactionBytes = std::size_t{16} << 20;

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
  const auto decoded =
      codec::DecodeDirectly<state::state_snapshot>(snapshot.data.bytes, codec::kMaxStateBytes);
  if (!decoded) {
    failed_ = true;
    logging::event(logging::event_id::kStorageFailed).With("what", "snapshot can't be decoded");
    return;
  }
  machine_.Restore(decoded.value());
  reader_.Clear();
  applied_index_ = snapshot.index;
  compacted_index_ = snapshot.index;
}

void replica::Start() {
  tick_timer_.StartPeriodic(internal::kTickPeriod, [this] { Tick(); });
}

void replica::Stop() {
  stopped_ = true;
  tick_timer_.Cancel();
  FailPending();
}

void replica::FailPending() {
  for (const auto& [index, proposal] : std::exchange(proposals_, {})) {
    proposal.callback(std::nullopt);
  }
  for (const auto& [nonce, callback] : std::exchange(pending_reads_, {})) callback(false);
  for (const waiting_read& read : std::exchange(waiting_reads_, {})) read.callback(false);
}

void replica::Tick() {
  if (failed_) return;
  node_.Tick(Now());
  ExpireProposals();
  ScheduleProcessReady();
}

void replica::Receive(const replication::envelope& message) {
  if (failed_) return;
  node_.Receive(message, Now());
  ScheduleProcessReady();
}

void replica::Propose(state::command command, outcome_callback callback) {
  if (!IsActive()) {
    callback(std::nullopt);
    return;
  }
  std::vector<kernel::byte_string> payloads =
      EncodeLogRecord({SinceEpochMs().count(), std::move(command)});
  if (payloads.empty()) {
    callback(state::refused_outcome{"the change is too large"});
    return;
  }
  ProposePayloads(std::move(payloads), std::move(callback));
}

void replica::ProposePacked(const std::string& packed, outcome_callback callback) {
  if (!IsActive()) {
    callback(std::nullopt);
    return;
  }
  ProposePayloads(EncodePackedCommand(SinceEpochMs().count(), packed), std::move(callback));
}

// If the log refuses one of several entries, the earlier ones have no effect, since no entry
// completes their record.
void replica::ProposePayloads(std::vector<kernel::byte_string> payloads,
                              outcome_callback callback) {
  std::optional<kernel::log_index> index;
  for (kernel::byte_string& payload : payloads) {
    index = node_.Propose(std::move(payload), Now());
    if (!index) {
      callback(std::nullopt);
      return;
    }
  }
  proposals_.emplace(*index,
                     pending_proposal{node_.current_term(), Now() + protocol::kSubmissionTimeout,
                                      std::move(callback)});
  ScheduleProcessReady();
}

void replica::Read(read_callback callback) {
  if (!IsActive()) {
    callback(false);
    return;
  }
  const kernel::nonce nonce(next_nonce_++);
  pending_reads_.emplace(nonce, std::move(callback));
  node_.RequestReadIndex(nonce, Now());
  ScheduleProcessReady();
}

bool replica::ProposeConfiguration(const replication::group_configuration& configuration) {
  if (!IsActive() || !node_.ProposeConfiguration(configuration, Now())) return false;
  ScheduleProcessReady();
  return true;
}

// Posted, so that all proposals and messages of one loop iteration share one sync of the log.
void replica::ScheduleProcessReady() {
  if (processing_scheduled_ || !node_.HasReady()) return;
  processing_scheduled_ = true;
  loop_.Post([this] {
    processing_scheduled_ = false;
    ProcessReady();
  });
}

void replica::ProcessReady() {
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
                         .policy_changed = true,
                         .rollouts_changed = true});
    }
    for (const replication::log_entry& entry : ready.committed) ApplyEntry(entry);
    HandleReadResults(ready.reads);
  }
  CompleteAppliedReads();
  UpdateLeadership();
  CompactIfDue();
}

bool replica::Persist(const replication::ready& ready) {
  const bool nothing_to_store =
      !ready.state && ready.entries.empty() && !ready.snapshot && !ready.compacted;
  if (nothing_to_store) return true;
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

std::optional<state::outcome> replica::ApplyRecord(const replication::log_entry& entry,
                                                   state::applied_effects& effects) {
  const log_record_reader::result read = reader_.Read(entry);
  if (const auto* record = std::get_if<state::log_record>(&read)) {
    return machine_.Apply(entry.index, *record, effects);
  }
  if (std::holds_alternative<log_record_reader::incomplete>(read)) return std::nullopt;
  return state::refused_outcome{"the command can't be decoded"};
}

void replica::ApplyEntry(const replication::log_entry& entry) {
  applied_index_ = entry.index;
  applied_bytes_ += entry.payload.bytes.size();
  state::applied_effects effects;
  std::optional<state::outcome> outcome;
  if (entry.kind == replication::entry_kind::kCommand) {
    outcome = ApplyRecord(entry, effects);
  } else {
    reader_.Clear();
  }
  handlers_.applied(effects);
  const auto pending = proposals_.find(entry.index);
  if (pending == proposals_.end()) return;
  const pending_proposal proposal = std::move(pending->second);
  proposals_.erase(pending);
  const bool same_term = proposal.term == entry.term;
  proposal.callback(same_term ? std::move(outcome) : std::nullopt);
}

void replica::HandleReadResults(const std::vector<replication::read_index_result>& reads) {
  for (const replication::read_index_result& read : reads) {
    const auto found = pending_reads_.find(read.nonce);
    if (found == pending_reads_.end()) continue;
    read_callback callback = std::move(found->second);
    pending_reads_.erase(found);
    if (read.index) {
      waiting_reads_.push_back({*read.index, std::move(callback)});
    } else {
      callback(false);
    }
  }
}

void replica::CompleteAppliedReads() {
  std::vector<waiting_read> waiting = std::move(waiting_reads_);
  waiting_reads_.clear();
  for (waiting_read& read : waiting) {
    if (read.index <= applied_index_) {
      read.callback(true);
    } else {
      waiting_reads_.push_back(std::move(read));
    }
  }
}

void replica::ExpireProposals() {
  const kernel::time_point now = Now();
  for (auto it = proposals_.begin(); it != proposals_.end();) {
    if (it->second.expires_at > now) {
      ++it;
      continue;
    }
    const outcome_callback callback = std::move(it->second.callback);
    it = proposals_.erase(it);
    callback(std::nullopt);
  }
}

void replica::UpdateLeadership() {
  if (node_.IsLeader() == was_leader_) return;
  was_leader_ = node_.IsLeader();
  logging::event(was_leader_ ? logging::event_id::kLeaderElected
                             : logging::event_id::kLeadershipLost)
      .With("term", node_.current_term());
  handlers_.leadership_changed(was_leader_);
}

void replica::CompactIfDue() {
  const bool is_due =
      applied_index_.value() >= compacted_index_.value() + internal::kCompactionInterval ||
      applied_bytes_ >= internal::kCompactionBytes;
  if (failed_ || !is_due || reader_.HasIncomplete()) return;
  compacted_index_ = applied_index_;
  applied_bytes_ = 0;
  std::string snapshot = codec::EncodeDirectly(machine_.Snapshot());
  if (snapshot.size() > codec::kMaxStateBytes) {
    // No host could read it back. The log keeps all entries instead.
    logging::event(logging::event_id::kStorageFailed)
        .With("what", "the state is too large for a snapshot")
        .With("bytes", snapshot.size());
    return;
  }
  node_.Compact(applied_index_, kernel::byte_string{std::move(snapshot)});
  ScheduleProcessReady();
}

}  // namespace cornelweir::plugins::control
