#include "cornelweir/src/quarantine/crash_ledger.h"

#include <algorithm>
#include <cstdint>

#include "cornelweir/src/quarantine/limits.h"

namespace cornelweir::quarantine {
namespace internal {

bool IsProven(const suspect& entry) {
  if (entry.crashes.size() < kMinCrashes) return false;
  return entry.evidence >= kQuarantineEvidence || entry.crashes.size() >= kMaxCrashes;
}

// The key of the entry with the smallest value, the first one among equals.
template <class Map, class Projection>
typename Map::iterator Smallest(Map& map, Projection projection) {
  return std::min_element(map.begin(), map.end(), [&](const auto& left, const auto& right) {
    return projection(left.second) < projection(right.second);
  });
}

}  // namespace internal

bool crash_ledger::Report(kernel::fingerprint request, const kernel::upstream_id& upstream,
                          kernel::incarnation process, kernel::time_point now,
                          kernel::request_count in_progress) {
  Expire(now);
  if (!state_.suspects.contains(request) && state_.suspects.size() >= kMaxSuspects) {
    state_.suspects.erase(
        internal::Smallest(state_.suspects, [](const suspect& entry) { return entry.last_crash; }));
  }
  suspect& entry = state_.suspects[request];
  const upstream_crash crash{upstream, process};
  if (std::find(entry.crashes.begin(), entry.crashes.end(), crash) == entry.crashes.end()) {
    entry.crashes.push_back(crash);
    if (entry.crashes.size() > kMaxCrashes) entry.crashes.erase(entry.crashes.begin());
    entry.evidence += kFullEvidence / std::max<std::int64_t>(in_progress.value(), 1);
    entry.last_crash = state_.latest;
    if (internal::IsProven(entry)) Quarantine(request);
  }
  return state_.quarantined.contains(request);
}

void crash_ledger::Quarantine(kernel::fingerprint request) {
  if (!state_.quarantined.contains(request) && state_.quarantined.size() >= kMaxQuarantined) {
    state_.quarantined.erase(
        internal::Smallest(state_.quarantined, [](kernel::log_time until) { return until; }));
  }
  state_.quarantined[request] = kernel::log_time(state_.latest.value() + kQuarantineTime.count());
}

bool crash_ledger::Release(kernel::fingerprint request) {
  state_.suspects.erase(request);
  return state_.quarantined.erase(request) > 0;
}

void crash_ledger::Expire(kernel::time_point now) {
  state_.latest = std::max(state_.latest, kernel::ToLogTime(now));
  std::erase_if(state_.quarantined,
                [&](const auto& entry) { return entry.second <= state_.latest; });
  std::erase_if(state_.suspects, [&](const auto& entry) {
    return entry.second.last_crash.value() + kSuspicionTime.count() <= state_.latest.value();
  });
}

std::vector<quarantined_fingerprint> crash_ledger::Quarantined() const {
  std::vector<quarantined_fingerprint> list;
  list.reserve(state_.quarantined.size());
  for (const auto& [request, until] : state_.quarantined) list.push_back({request, until});
  return list;
}

}  // namespace cornelweir::quarantine
