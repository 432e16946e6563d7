#include "cornelweir/src/control/rollout_store.h"

#include <algorithm>

namespace cornelweir::control {
namespace internal {

// The versions in use when a rollout starts, other than the target.
std::vector<kernel::software_version> ReleasedVersions(const rollout::rollout_record* previous,
                                                       const start_rollout_command& command) {
  std::vector<kernel::software_version> released = command.released;
  if (previous != nullptr && previous->state == rollout::rollout_state::kCompleted) {
    released = {previous->target};
  } else if (previous != nullptr && !previous->released.empty()) {
    released = previous->released;
  } else if (previous != nullptr) {
    std::erase(released, previous->target);
  }
  std::erase(released, command.version);
  return released;
}

// Whether the target is the only version in use already.
bool IsInUse(const rollout::rollout_record* previous, const kernel::software_version& target) {
  if (previous == nullptr) return false;
  return previous->state == rollout::rollout_state::kCompleted
             ? previous->target == target
             : previous->released == std::vector{target};
}

}  // namespace internal

const rollout::rollout_record* rollout_store::Find(const kernel::service_name& service) const {
  const auto found = records_.find(service);
  return found == records_.end() ? nullptr : &found->second;
}

bool rollout_store::WasAccepted(const kernel::service_name& service, kernel::order_digest order,
                                std::int64_t now_ms) const {
  const rollout::rollout_record* const latest = Find(service);
  if (latest == nullptr || latest->order != order) return false;
  return latest->state != rollout::rollout_state::kRolledBack ||
         now_ms - latest->started_at_ms < rollout::kOrderResendWindow.count();
}

rollout_outcome rollout_store::Start(const start_rollout_command& command, std::int64_t now_ms,
                                     kernel::rollout_revision revision) {
  if (WasAccepted(command.service, command.order, now_ms)) return {true, false};
  const rollout::rollout_record* const previous = Find(command.service);
  if (previous != nullptr && rollout::IsRunning(*previous)) return {false, false};
  rollout::rollout_record started;
  started.service = command.service;
  started.target = command.version;
  started.released = internal::ReleasedVersions(previous, command);
  started.share = rollout::kCanaryShare;
  if (internal::IsInUse(previous, command.version)) {
    started.state = rollout::rollout_state::kCompleted;
    started.share = kernel::kAllTraffic;
  }
  started.started_at_ms = now_ms;
  started.duration = command.duration;
  started.order = command.order;
  started.started = started.revision = revision_ = revision;
  records_[command.service] = std::move(started);
  return {true, true};
}

rollout_outcome rollout_store::Advance(const advance_rollout_command& command,
                                       kernel::rollout_revision revision) {
  const auto found = records_.find(command.service);
  if (found == records_.end()) return {false, false};
  rollout::rollout_record& record = found->second;
  if (!rollout::IsRunning(record) || record.started != command.started) return {false, false};
  if (command.state == rollout::rollout_state::kRunning && command.share <= record.share) {
    return {false, false};
  }
  record.state = command.state;
  record.share = command.share;
  record.revision = revision_ = revision;
  return {true, true};
}

void rollout_store::Restore(const rollout_records& records) {
  records_ = records;
  revision_ = {};
  for (const auto& [service, record] : records_) revision_ = std::max(revision_, record.revision);
}

std::vector<rollout::rollout_record> rollout_store::ChangedSince(
    kernel::rollout_revision revision) const {
  std::vector<rollout::rollout_record> changed;
  for (const auto& [service, record] : records_) {
    if (record.revision > revision) changed.push_back(record);
  }
  return changed;
}

}  // namespace cornelweir::control
