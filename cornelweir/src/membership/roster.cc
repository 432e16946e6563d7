#include "cornelweir/src/membership/roster.h"

#include <algorithm>
#include <utility>

#include "cornelweir/src/membership/limits.h"

namespace cornelweir::membership {

kernel::incarnation roster::RecordReport(const roster_entry& entry, kernel::time_point now) {
  record& known = records_[entry.daemon];
  if (entry.incarnation < known.entry.incarnation) return known.entry.incarnation;
  const bool newer = std::pair(entry.incarnation, entry.sequence) >
                     std::pair(known.entry.incarnation, known.entry.sequence);
  if (!newer && known.revision != 0) return kernel::incarnation();
  const bool changed =
      known.revision == 0 || known.gone != entry.leaving || !entry.HasSameContentAs(known.entry);
  known.entry = entry;
  known.reported_at = now;
  known.gone = entry.leaving;
  if (changed) known.revision = ++revision_;
  return kernel::incarnation();
}

void roster::Expire(kernel::time_point now) {
  for (auto next = records_.begin(); next != records_.end();) {
    record& known = next->second;
    const auto age = now - known.reported_at;
    if (known.gone && age > kForgetDaemonAfter) {
      next = records_.erase(next);
      continue;
    }
    if (!known.gone && age > kDaemonLease) {
      known.gone = true;
      known.revision = ++revision_;
    }
    ++next;
  }
}

roster_changes roster::ChangesSince(std::uint64_t revision) const {
  roster_changes changes;
  for (const auto& [daemon, known] : records_) {
    if (known.revision <= revision) continue;
    if (known.gone) {
      changes.gone.push_back(daemon);
    } else {
      changes.present.push_back(known.entry);
    }
  }
  return changes;
}

const roster_entry* roster::Find(const kernel::endpoint& daemon) const {
  const auto found = records_.find(daemon);
  return found == records_.end() || found->second.gone ? nullptr : &found->second.entry;
}

std::size_t roster::size() const {
  return static_cast<std::size_t>(std::count_if(
      records_.begin(), records_.end(), [](const auto& known) { return !known.second.gone; }));
}

}  // namespace cornelweir::membership
