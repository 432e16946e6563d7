#include "cornelweir/src/rollout/upstream_guard.h"

#include <algorithm>

#include "cornelweir/src/rollout/limits.h"
#include "cornelweir/src/rollout/planner.h"

namespace cornelweir::rollout {

void upstream_guard::Update(const kernel::service_name& service,
                            const kernel::upstream_id& upstream,
                            const kernel::software_version& version,
                            kernel::microseconds since_order, kernel::time_point now) {
  const rollout_record* const record = table_.Find(service);
  if (record == nullptr) return;
  const bool is_new = record->started != started_;
  if (is_new) {
    started_ = record->started;
    ordered_at_ = now - std::max(since_order, kernel::microseconds::zero());
  }
  const bool next_step = record->revision != revision_;
  if (next_step) step_learned_at_ = now;
  // At the last step a released upstream only ends its requests. It keeps what it counted in the
  // step before, so that a leader elected now has something to compare the target with.
  const bool keeps_counters = !is_new && record->share == kernel::kAllTraffic &&
                              BelongsTo(*record, version_group::kReleased, version);
  if ((next_step && !keeps_counters) || upstream != upstream_ || version != version_) {
    counters_.Restart(now);
  }
  revision_ = record->revision;
  upstream_ = upstream;
  version_ = version;
}

// A daemon that is cut off from the control hosts does not learn of the end of a rollout. At the
// first share, the target version closes, so that it stops even if it turns out bad. A released
// version closes once the rollout could have been completed, after which its upstreams stop. The
// target stays open at the later shares, so that an outage of all control hosts closes only one of
// the two groups.
bool upstream_guard::IsOverdue(const rollout_record& record,
                               const kernel::software_version& version,
                               kernel::time_point now) const {
  if (!IsRunning(record) || now - confirmed_at_ < kUnconfirmedCloseTime) return false;
  const bool is_canary = record.share <= kCanaryShare;
  if (BelongsTo(record, version_group::kTarget, version)) return is_canary;
  const kernel::time_point step_began = is_canary ? ordered_at_ : step_learned_at_;
  return now - step_began >= TimeToCompletion(record);
}

}  // namespace cornelweir::rollout
