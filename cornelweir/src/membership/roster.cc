#include "cornelweir/src/membership/roster.h"

#include <algorithm>
#include <utility>

#include "cornelweir/src/membership/limits.h"

namespace cornelweir::membership {

kernel::incarnation roster::RecordReport(const roster_entry& entry, kernel::time_point now) {
  record& stored = records_[entry.daemon];
  if (entry.incarnation < stored.entry.incarnation) return stored.entry.incarnation;
  const bool newer = std::pair(entry.incarnation, entry.sequence) >
                     std::pair(stored.entry.incarnation, stored.entry.sequence);
  if (!newer && stored.revision != 0) return kernel::incarnation();
  const bool changed =
      stored.revision == 0 || stored.gone != entry.leaving || !entry.HasSameContentAs(stored.entry);
  std::optional<announced_upstream> last_upstream = std::move(stored.entry.upstream);
  stored.entry = entry;
  // A daemon that has just restarted does not know its upstream yet.
  if (!stored.entry.upstream) stored.entry.upstream = std::move(last_upstream);
  stored.reported_at = now;
  stored.gone = entry.leaving;
  if (changed) stored.revision = ++revision_;
  return kernel::incarnation();
}

void roster::Expire(kernel::time_point now) {
  for (auto next = records_.begin(); next != records_.end();) {
    record& stored = next->second;
    const auto age = now - stored.reported_at;
    if (stored.gone && age > kDaemonRetention) {
      next = records_.erase(next);
      continue;
    }
    if (!stored.gone && age > kDaemonLease) {
      stored.gone = true;
      stored.revision = ++revision_;
    }
    ++next;
  }
}

roster_changes roster::ChangesSince(std::uint64_t revision) const {
  roster_changes changes;
  for (const auto& [daemon, stored] : records_) {
    if (stored.revision <= revision) continue;
    if (stored.gone) {
      changes.gone.push_back(daemon);
    } else {
      changes.present.push_back(stored.entry);
      changes.present.back().upstream.reset();
    }
  }
  return changes;
}

const roster_entry* roster::Find(const kernel::endpoint& daemon) const {
  const auto found = records_.find(daemon);
  return found == records_.end() || found->second.gone ? nullptr : &found->second.entry;
}

std::vector<const roster_entry*> roster::Entries() const {
  std::vector<const roster_entry*> entries;
  for (const auto& [daemon, stored] : records_) {
    if (!stored.gone) entries.push_back(&stored.entry);
  }
  return entries;
}

std::vector<const roster_entry*> roster::EntriesOf(const kernel::service_name& service) const {
  std::vector<const roster_entry*> entries;
  for (const auto& [daemon, stored] : records_) {
    if (!stored.gone && stored.entry.service == service) entries.push_back(&stored.entry);
  }
  return entries;
}

std::size_t roster::size() const {
  return static_cast<std::size_t>(std::count_if(
      records_.begin(), records_.end(), [](const auto& stored) { return !stored.second.gone; }));
}

}  // namespace cornelweir::membership
