#include "cornelweir/src/rollout/rollout_table.h"

#include <algorithm>

#include "cornelweir/src/rollout/limits.h"

namespace cornelweir::rollout {

bool rollout_table::Apply(const std::vector<rollout_record>& records, kernel::time_point now) {
  bool changed = false;
  for (const rollout_record& record : records) {
    entry& known = entries_[record.service];
    if (record.revision <= known.record.revision) continue;
    changed = true;
    known.record = record;
    known.learned_at = now;
    known.order.reset();
    if (IsRunning(record)) {
      known.order.emplace(
          std::vector{kernel::kAllTraffic.value() - record.share.value(), record.share.value()},
          start_offset_);
    }
    revision_ = std::max(revision_, record.revision);
  }
  return changed;
}

version_group rollout_table::Select(const kernel::service_name& service) {
  entry& known = entries_.at(service);
  if (!known.order) {
    return Admits(known.record, version_group::kTarget) ? version_group::kTarget
                                                        : version_group::kReleased;
  }
  return static_cast<version_group>(known.order->Next());
}

std::uint64_t rollout_table::SubsetPeriod(const kernel::service_name& service,
                                          kernel::time_point now) const {
  const entry& known = entries_.at(service);
  return known.record.revision.value() +
         static_cast<std::uint64_t>((now - known.learned_at) / kSubsetPeriod);
}

group_preference PreferenceOf(const rollout_record& record, version_group selected) {
  group_preference preference{selected, std::nullopt};
  const version_group other =
      selected == version_group::kTarget ? version_group::kReleased : version_group::kTarget;
  const bool may_change = selected == version_group::kTarget || record.share > kCanaryShare;
  if (may_change && Admits(record, other)) preference.second = other;
  return preference;
}

}  // namespace cornelweir::rollout
