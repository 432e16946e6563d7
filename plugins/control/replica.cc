#include "plugins/control/replica.h"

#include <string>
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
constexpr kernel::milliseconds kSnapshotRetryDelay{10'000};

// A log line about storage: which call on which file failed, and why.
class storage_event : public logging::event {
 public:
  storage_event(logging::event_id id, const storage::storage_error& error) : logging::event(id) {
    With("file", error.file);
    With("call", storage::CallName(error.call));
    With("errno", error.system_error);
    With("offset", error.offset);
  }
};

// The free space of the disk for a log line.
std::string FreeBytesText(std::optional<std::uint64_t> free_bytes) {
  return free_bytes ? std::to_string(*free_bytes) : "unknown";
}

}  // namespace internal

replica::replica(loop::event_loop& loop, storage::log_store store,
                 durable_node::node_factory make_node,
                 const replication::group_configuration& initial_group, handlers callbacks)
    : loop_(loop),
      tick_timer_(loop),
      handlers_(std::move(callbacks)),
      durable_(std::move(store), std::move(make_node),
               replication::node_builder().Configuration(initial_group).Build(),
               StorageHandlers()) {}

boost::leaf::result<void> replica::Open() { return durable_.Start(Now()); }

// ---- Storage.

replica::durable_node::handlers replica::StorageHandlers() {
  durable_node::handlers callbacks;
  callbacks.loaded = [this](const auto& content) { OnStorageLoaded(content); };
  callbacks.failed = [this](const auto& error) { OnStorageFailed(error); };
  callbacks.recovered = [this](const auto& outage) { OnStorageRecovered(outage); };
  callbacks.still_failing = [this](const auto& error, const auto& outage) {
    internal::storage_event(logging::event_id::kStorageStillFailing, error)
        .With("outage_ms", kernel::ToMilliseconds(outage.duration).count())
        .With("attempts", outage.attempts)
        .With("free_bytes", internal::FreeBytesText(durable_.FreeBytes()));
  };
  callbacks.snapshot_postponed = [this](const auto& error) { OnSnapshotPostponed(error); };
  callbacks.unusable = [this](const auto& error) { handlers_.storage_unusable(error); };
  return callbacks;
}

void replica::OnStorageLoaded(const storage::recovered_state& content) {
  logging::event(logging::event_id::kStorageOpened)
      .With("disk", content.disk)
      .With("created", content.identity_created)
      .With("set_aside", content.set_aside)
      .With("torn_bytes", content.torn_bytes)
      .With("term", content.state.term)
      .With("snapshot", content.snapshot ? content.snapshot->index : kernel::log_index())
      .With("entries", content.entries.size());
  if (content.snapshot) Restore(*content.snapshot);
}

void replica::OnStorageFailed(const storage::storage_error& error) {
  internal::storage_event(logging::event_id::kStorageFailed, error)
      .With("free_bytes", internal::FreeBytesText(durable_.FreeBytes()));
  FailPending();
  UpdateLeadership();
}

void replica::OnStorageRecovered(const storage::storage_outage& outage) {
  logging::event(logging::event_id::kStorageRecovered)
      .With("outage_ms", kernel::ToMilliseconds(outage.duration).count())
      .With("attempts", outage.attempts)
      .With("applied", applied_index_);
}

void replica::OnSnapshotPostponed(const storage::storage_error& error) {
  postponed_snapshot_due_ = Now() + internal::kSnapshotRetryDelay;
  internal::storage_event(logging::event_id::kSnapshotPostponed, error)
      .With("free_bytes", internal::FreeBytesText(durable_.FreeBytes()));
}

void replica::Restore(const replication::snapshot& snapshot) {
  if (snapshot.index <= applied_index_) return;
  const auto decoded =
      codec::DecodeDirectly<state::state_snapshot>(snapshot.data.bytes, codec::kMaxStateBytes);
  if (!decoded) {
    handlers_.storage_unusable(
        storage::storage_error{storage::storage_fault::kInconsistent, "snapshot"});
    return;
  }
  machine_.Restore(decoded.value());
  has_applied_command_ = true;
  reader_.Clear();
  applied_index_ = snapshot.index;
  compacted_index_ = snapshot.index;
  // Before the start, nobody has seen an earlier state.
  if (!started_) return;
  handlers_.applied({.table_changed = true,
                     .members_changed = true,
                     .quarantine_changed = true,
                     .policy_changed = true,
                     .rollouts_changed = true});
}

// ---- Proposals and reads.

void replica::Start() {
  started_ = true;
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
  durable_.Tick(Now());
  ExpireProposals();
  ExpireReads();
  ScheduleProcessReady();
}

void replica::Receive(const replication::envelope& message) {
  durable_.Receive(message, Now());
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
    index = durable_.node().Propose(std::move(payload), Now());
    if (!index) {
      callback(std::nullopt);
      return;
    }
  }
  // An earlier proposal at this index was dropped from the log while another host led.
  const auto dropped = proposals_.extract(*index);
  proposals_.emplace(*index,
                     pending_proposal{node().current_term(), Now() + protocol::kSubmissionTimeout,
                                      std::move(callback)});
  if (!dropped.empty()) dropped.mapped().callback(std::nullopt);
  ScheduleProcessReady();
}

void replica::Read(read_callback callback) {
  if (!IsActive()) {
    callback(false);
    return;
  }
  const kernel::nonce nonce(next_nonce_++);
  pending_reads_.emplace(nonce, std::move(callback));
  durable_.node().RequestReadIndex(nonce, Now());
  ScheduleProcessReady();
}

bool replica::ProposeConfiguration(const replication::group_configuration& configuration,
                                   replication::promotion_rule rule) {
  if (!IsActive() || !durable_.node().ProposeConfiguration(configuration, Now(), rule)) {
    return false;
  }
  ScheduleProcessReady();
  return true;
}

// Posted, so that all proposals and messages of one loop iteration share one sync of the log.
void replica::ScheduleProcessReady() {
  if (processing_scheduled_ || !node().HasReady()) return;
  processing_scheduled_ = true;
  loop_.Post([this] {
    processing_scheduled_ = false;
    ProcessReady();
  });
}

std::optional<replication::ready> replica::TakeDurable() {
  const kernel::time_point began_at = Now();
  std::optional<replication::ready> output = durable_.TakeDurable(clock_);
  if (output && (output->state || !output->entries.empty())) last_sync_duration_ = Now() - began_at;
  return output;
}

void replica::ProcessReady() {
  while (const std::optional<replication::ready> output = TakeDurable()) {
    for (const replication::envelope& message : output->messages) handlers_.send(message);
    if (output->snapshot) Restore(*output->snapshot);
    for (const replication::log_entry& entry : output->committed) ApplyEntry(entry);
    HandleReadResults(output->reads);
  }
  CompleteAppliedReads();
  UpdateLeadership();
  CompactIfDue();
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

// A node that was built again after a storage fault delivers entries that were applied before it.
void replica::ApplyEntry(const replication::log_entry& entry) {
  if (entry.index <= applied_index_) return;
  applied_index_ = entry.index;
  applied_bytes_ += entry.payload.bytes.size();
  state::applied_effects effects;
  std::optional<state::outcome> outcome;
  if (entry.kind == replication::entry_kind::kCommand) {
    has_applied_command_ = true;
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
      waiting_reads_.push_back(
          {*read.index, Now() + replication::kReadTimeout, std::move(callback)});
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

// The entries that a read waits for may never come: the host was removed, or its leader can't reach
// it.
void replica::ExpireReads() {
  const kernel::time_point now = Now();
  std::vector<read_callback> expired;
  std::erase_if(waiting_reads_, [&](waiting_read& read) {
    if (read.expires_at > now) return false;
    expired.push_back(std::move(read.callback));
    return true;
  });
  for (const read_callback& callback : expired) callback(false);
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
  if (node().IsLeader() == was_leader_) return;
  was_leader_ = node().IsLeader();
  if (was_leader_) led_term_ = node().current_term();
  logging::event(was_leader_ ? logging::event_id::kLeaderElected
                             : logging::event_id::kLeadershipLost)
      .With("term", led_term_);
  handlers_.leadership_changed(was_leader_);
}

bool replica::IsCompactionDue() const {
  if (postponed_snapshot_due_) {
    // The node takes a snapshot of a later entry only.
    return Now() >= *postponed_snapshot_due_ && applied_index_ > compacted_index_;
  }
  return applied_index_.value() >= compacted_index_.value() + internal::kCompactionInterval ||
         applied_bytes_ >= internal::kCompactionBytes;
}

void replica::CompactIfDue() {
  if (!IsStorageHealthy() || !IsCompactionDue() || reader_.HasIncomplete()) return;
  postponed_snapshot_due_.reset();
  compacted_index_ = applied_index_;
  applied_bytes_ = 0;
  std::string snapshot = codec::EncodeDirectly(machine_.Snapshot());
  if (snapshot.size() > codec::kMaxStateBytes) {
    // No host could read it back. The log keeps all entries instead.
    logging::event(logging::event_id::kStateTooLarge).With("bytes", snapshot.size());
    return;
  }
  durable_.node().Compact(applied_index_, kernel::byte_string{std::move(snapshot)});
  ScheduleProcessReady();
}

}  // namespace cornelweir::plugins::control
