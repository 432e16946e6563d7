#include "cornelweir/src/distribution/service_progress.h"

#include <algorithm>
#include <cstdint>

#include "cornelweir/src/distribution/limits.h"

namespace cornelweir::distribution {
namespace internal {

void AddCount(const version_count& added, std::vector<version_count>& counts) {
  const auto position = std::find_if(counts.begin(), counts.end(), [&](const version_count& entry) {
    return entry.version <= added.version;
  });
  if (position != counts.end() && position->version == added.version) {
    position->daemons = daemon_count(position->daemons.value() + added.daemons.value());
  } else {
    counts.insert(position, added);
  }
  if (counts.size() <= kMaxVersionCounts) return;
  const version_count oldest = counts.back();
  counts.pop_back();
  // Merges the two oldest entries under the older version, so that no daemon is counted at a
  // version that it has not reached.
  counts.back().version = oldest.version;
  counts.back().daemons = daemon_count(counts.back().daemons.value() + oldest.daemons.value());
}

void AddName(const kernel::host_id& host, std::vector<kernel::host_id>& names) {
  if (names.size() >= kMaxBehindHosts) return;
  if (std::find(names.begin(), names.end(), host) == names.end()) names.push_back(host);
}

daemon_count CountDaemons(const service_progress& progress, kernel::table_version version,
                          bool older) {
  std::uint64_t sum = 0;
  for (const version_count& entry : progress.counts) {
    if ((entry.version < version) == older) sum += entry.daemons.value();
  }
  return daemon_count(sum);
}

}  // namespace internal

void AddReport(const kernel::host_id& host, const applied& report, service_progress& progress) {
  internal::AddCount(version_count{report.version, daemon_count(1)}, progress.counts);
  for (const version_count& entry : report.below) internal::AddCount(entry, progress.counts);
  if (report.version < progress.version) internal::AddName(host, progress.behind);
  for (const kernel::host_id& name : report.behind) internal::AddName(name, progress.behind);
}

void AddProgress(const service_progress& other, service_progress& progress) {
  progress.version = std::max(progress.version, other.version);
  progress.announced = std::max(progress.announced, other.announced);
  for (const version_count& entry : other.counts) internal::AddCount(entry, progress.counts);
  for (const kernel::host_id& name : other.behind) internal::AddName(name, progress.behind);
}

daemon_count CountAtLeast(const service_progress& progress, kernel::table_version version) {
  return internal::CountDaemons(progress, version, false);
}

daemon_count CountBehind(const service_progress& progress, kernel::table_version version) {
  return internal::CountDaemons(progress, version, true);
}

}  // namespace cornelweir::distribution
