#include "cornelweir/src/quarantine/crash_tracker.h"

#include <algorithm>
#include <cstddef>

#include "cornelweir/src/quarantine/limits.h"

namespace cornelweir::quarantine {

std::vector<kernel::fingerprint> crash_tracker::ReportCrash(const crash_report& report,
                                                            kernel::time_point now) {
  Expire(now);
  std::vector<kernel::fingerprint> requests = report.requests;
  std::sort(requests.begin(), requests.end());
  requests.erase(std::unique(requests.begin(), requests.end()), requests.end());
  const auto in_progress = static_cast<std::int64_t>(requests.size());
  if (requests.size() > kMaxReportedRequests) requests.resize(kMaxReportedRequests);

  const upstream_crash crash{report.upstream, report.process};
  const auto repeated =
      std::count_if(requests.begin(), requests.end(),
                    [&](kernel::fingerprint request) { return WasInEarlierCrash(request, crash); });
  std::vector<kernel::fingerprint> quarantined;
  for (const kernel::fingerprint request : requests) {
    const bool known = state_.quarantined.contains(request);
    const bool only_repeated = repeated == 1 && WasInEarlierCrash(request, crash);
    if (Count(request, crash, in_progress, only_repeated) && !known) {
      quarantined.push_back(request);
    }
  }
  return quarantined;
}

bool crash_tracker::Report(kernel::fingerprint request, const kernel::upstream_id& upstream,
                           kernel::incarnation process, kernel::time_point now,
                           kernel::request_count in_progress) {
  Expire(now);
  Count(request, upstream_crash{upstream, process}, in_progress.value(), false);
  return state_.quarantined.contains(request);
}

bool crash_tracker::Release(kernel::fingerprint request) {
  Forget(request);
  const bool quarantined = state_.quarantined.contains(request);
  EndQuarantine(request);
  return quarantined;
}

void crash_tracker::Expire(kernel::time_point now) {
  state_.latest = std::max(state_.latest, kernel::ToLogTime(now));
  while (!by_end_.empty() && by_end_.begin()->first <= state_.latest) {
    EndQuarantine(by_end_.begin()->second);
  }
  const kernel::log_time oldest(state_.latest.value() - kSuspicionTime.count());
  while (!by_age_.empty() && by_age_.begin()->first <= oldest) Forget(by_age_.begin()->second);
}

std::vector<quarantined_fingerprint> crash_tracker::Quarantined() const {
  std::vector<quarantined_fingerprint> list;
  list.reserve(state_.quarantined.size());
  for (const auto& [request, until] : state_.quarantined) list.push_back({request, until});
  return list;
}

void crash_tracker::Restore(crash_tracker_state state) {
  state_ = std::move(state);
  by_age_.clear();
  by_evidence_.clear();
  by_end_.clear();
  for (const auto& [request, entry] : state_.suspects) Index(request, entry);
  for (const auto& [request, until] : state_.quarantined) by_end_.emplace(until, request);
}

bool crash_tracker::WasInEarlierCrash(kernel::fingerprint request,
                                      const upstream_crash& crash) const {
  const auto found = state_.suspects.find(request);
  return found != state_.suspects.end() &&
         std::any_of(found->second.crashes.begin(), found->second.crashes.end(),
                     [&](const upstream_crash& earlier) { return earlier != crash; });
}

bool crash_tracker::Count(kernel::fingerprint request, const upstream_crash& crash,
                          std::int64_t in_progress, bool only_repeated) {
  suspect entry;
  const auto found = state_.suspects.find(request);
  if (found != state_.suspects.end()) {
    entry = found->second;
    if (std::find(entry.crashes.begin(), entry.crashes.end(), crash) != entry.crashes.end()) {
      return false;
    }
    Forget(request);
  } else if (state_.suspects.size() >= kMaxSuspects) {
    Forget(by_evidence_.begin()->second);
  }
  entry.crashes.push_back(crash);
  if (entry.crashes.size() > kRememberedCrashes) entry.crashes.erase(entry.crashes.begin());
  entry.evidence += kFullEvidence / std::max<std::int64_t>(in_progress, 1);
  entry.last_crash = state_.latest;
  Index(request, entry);
  const std::size_t crashes = entry.crashes.size();
  state_.suspects.emplace(request, std::move(entry));
  if (crashes < kMinCrashes) return false;
  if (!only_repeated && crashes < kMaxCrashes &&
      state_.suspects.at(request).evidence < kQuarantineEvidence) {
    return false;
  }
  Quarantine(request);
  return true;
}

void crash_tracker::Quarantine(kernel::fingerprint request) {
  EndQuarantine(request);
  if (state_.quarantined.size() >= kMaxQuarantined) EndQuarantine(by_end_.begin()->second);
  const kernel::log_time until(state_.latest.value() + kQuarantineTime.count());
  state_.quarantined.emplace(request, until);
  by_end_.emplace(until, request);
}

void crash_tracker::EndQuarantine(kernel::fingerprint request) {
  const auto found = state_.quarantined.find(request);
  if (found == state_.quarantined.end()) return;
  by_end_.erase({found->second, request});
  state_.quarantined.erase(found);
}

void crash_tracker::Forget(kernel::fingerprint request) {
  const auto found = state_.suspects.find(request);
  if (found == state_.suspects.end()) return;
  by_age_.erase({found->second.last_crash, request});
  by_evidence_.erase({{found->second.evidence, found->second.last_crash}, request});
  state_.suspects.erase(found);
}

void crash_tracker::Index(kernel::fingerprint request, const suspect& entry) {
  by_age_.emplace(entry.last_crash, request);
  by_evidence_.emplace(weakness{entry.evidence, entry.last_crash}, request);
}

}  // namespace cornelweir::quarantine
