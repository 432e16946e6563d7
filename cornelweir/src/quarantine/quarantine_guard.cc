#include "cornelweir/src/quarantine/quarantine_guard.h"

#include <algorithm>

#include "cornelweir/src/quarantine/request_fingerprint.h"

namespace cornelweir::quarantine {

std::vector<kernel::fingerprint> quarantine_guard::OnCrash(const kernel::service_name& service,
                                                           const crash_report& report,
                                                           kernel::time_point now) {
  std::vector<kernel::fingerprint> quarantined = tracker_.ReportCrash(report, now);
  for (const kernel::fingerprint request : quarantined) {
    Add({request, service, kQuarantineDuration}, now);
  }
  return quarantined;
}

void quarantine_guard::Add(const quarantine_entry& entry, kernel::time_point now) {
  if (entry.request == kNoFingerprint || entry.left <= kernel::microseconds::zero()) return;
  const kernel::time_point end = now + std::min(entry.left, kQuarantineDuration);
  std::erase_if(entries_, [&](const auto& known) { return known.second.end <= now; });
  if (entries_.size() >= kMaxQuarantined && !entries_.contains(entry.request)) {
    entries_.erase(std::min_element(
        entries_.begin(), entries_.end(),
        [](const auto& left, const auto& right) { return left.second.end < right.second.end; }));
  }
  known_quarantine& known = entries_[entry.request];
  known.service = entry.service;
  known.end = std::max(known.end, end);
}

std::vector<kernel::fingerprint> quarantine_guard::ReplaceList(
    const std::vector<quarantined_fingerprint>& list, kernel::time_point now) {
  std::vector<kernel::fingerprint> released = list_.Replace(list, now);
  for (const kernel::fingerprint request : released) Release(request);
  return released;
}

void quarantine_guard::Release(kernel::fingerprint request) {
  entries_.erase(request);
  tracker_.Release(request);
}

kernel::microseconds quarantine_guard::RefusedFor(kernel::fingerprint request,
                                                  kernel::time_point now) const {
  kernel::microseconds left = list_.TimeLeft(request, now);
  const auto found = entries_.find(request);
  if (found != entries_.end()) left = std::max(left, found->second.end - now);
  return std::max(left, kernel::microseconds::zero());
}

std::vector<quarantine_entry> quarantine_guard::EntriesFor(const kernel::service_name& service,
                                                           kernel::time_point now) const {
  std::vector<quarantine_entry> listed;
  for (const auto& [request, known] : entries_) {
    if (known.service == service && known.end > now) {
      listed.push_back({request, service, known.end - now});
    }
  }
  return listed;
}

std::vector<quarantine_entry> quarantine_guard::UnlistedFor(const kernel::service_name& service,
                                                            kernel::time_point now) const {
  std::vector<quarantine_entry> unlisted = EntriesFor(service, now);
  std::erase_if(unlisted, [&](const auto& entry) { return list_.Contains(entry.request, now); });
  return unlisted;
}

}  // namespace cornelweir::quarantine
