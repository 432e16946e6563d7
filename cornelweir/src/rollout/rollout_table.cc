#include "cornelweir/src/rollout/rollout_table.h"

#include <algorithm>

#include "cornelweir/src/rollout/limits.h"

namespace cornelweir::rollout {

bool rollout_table::Apply(const std::vector<rollout_record>& records) {
  bool changed = false;
  for (const rollout_record& record : records) {
    entry& known = entries_[record.service];
    if (record.revision <= known.record.revision) continue;
    changed = true;
    known.record = record;
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

group_preference PreferenceOf(const rollout_record& record, version_group selected) {
  group_preference preference{selected, std::nullopt};
  const version_group other =
      selected == version_group::kTarget ? version_group::kReleased : version_group::kTarget;
  const bool may_change = selected == version_group::kTarget || record.share > kCanaryShare;
  if (may_change && Admits(record, other)) preference.second = other;
  return preference;
}

}  // namespace cornelweir::rollout
