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
  const auto repeated_count =
      std::count_if(requests.begin(), requests.end(),
                    [&](kernel::fingerprint request) { return WasInEarlierCrash(request, crash); });
  std::vector<kernel::fingerprint> quarantined;
  for (const kernel::fingerprint request : requests) {
    const bool was_quarantined = state_.quarantined.contains(request);
    const bool counts_as_resent =
        !rules_.only_resent ||
        std::find(report.resent.begin(), report.resent.end(), request) != report.resent.end();
    const bool is_only_repeated =
        repeated_count == 1 && counts_as_resent && WasInEarlierCrash(request, crash);
    if (RecordCrash(request, crash, in_progress, is_only_repeated) && !was_quarantined) {
      quarantined.push_back(request);
    }
  }
  return quarantined;
}

bool crash_tracker::Report(kernel::fingerprint request, const kernel::upstream_id& upstream,
                           kernel::incarnation process, kernel::time_point now,
                           kernel::request_count in_progress) {
  Expire(now);
  RecordCrash(request, upstream_crash{upstream, process}, in_progress.value(), false);
  return state_.quarantined.contains(request);
}

std::vector<upstream_crash> crash_tracker::CrashesOf(kernel::fingerprint request) const {
  const auto found = state_.suspects.find(request);
  return found == state_.suspects.end() ? std::vector<upstream_crash>() : found->second.crashes;
}

bool crash_tracker::Impose(kernel::fingerprint request, const kernel::service_name& service,
                           kernel::time_point now) {
  Expire(now);
  if (state_.quarantined.contains(request)) return false;
  Quarantine(request);
  state_.services[request] = service;
  return true;
}

bool crash_tracker::Release(kernel::fingerprint request) {
  DropSuspect(request);
  const bool quarantined = state_.quarantined.contains(request);
  EndQuarantine(request);
  return quarantined;
}

void crash_tracker::Expire(kernel::time_point now) {
  state_.latest_time = std::max(state_.latest_time, kernel::ToLogTime(now));
  while (!by_end_.empty() && by_end_.begin()->first <= state_.latest_time) {
    EndQuarantine(by_end_.begin()->second);
  }
  const kernel::log_time oldest(state_.latest_time.value() - kCrashRetention.count());
  while (!by_age_.empty() && by_age_.begin()->first <= oldest) DropSuspect(by_age_.begin()->second);
}

std::vector<quarantined_fingerprint> crash_tracker::Quarantined() const {
  std::vector<quarantined_fingerprint> entries;
  entries.reserve(state_.quarantined.size());
  for (const auto& [request, until] : state_.quarantined) {
    const auto service = state_.services.find(request);
    entries.push_back(
        {request, until,
         service == state_.services.end() ? kernel::service_name() : service->second});
  }
  return entries;
}

void crash_tracker::Restore(crash_tracker_state state) {
  state_ = std::move(state);
  by_age_.clear();
  by_evidence_.clear();
  by_end_.clear();
  for (const auto& [request, entry] : state_.suspects) AddToIndexes(request, entry);
  for (const auto& [request, until] : state_.quarantined) by_end_.emplace(until, request);
}

bool crash_tracker::WasInEarlierCrash(kernel::fingerprint request,
                                      const upstream_crash& crash) const {
  const auto found = state_.suspects.find(request);
  return found != state_.suspects.end() &&
         std::any_of(found->second.crashes.begin(), found->second.crashes.end(),
                     [&](const upstream_crash& earlier) { return earlier != crash; });
}

bool crash_tracker::RecordCrash(kernel::fingerprint request, const upstream_crash& crash,
                                std::int64_t in_progress, bool is_only_repeated) {
  suspect entry;
  const auto found = state_.suspects.find(request);
  if (found != state_.suspects.end()) {
    entry = found->second;
    if (std::find(entry.crashes.begin(), entry.crashes.end(), crash) != entry.crashes.end()) {
      return false;
    }
    DropSuspect(request);
  } else if (state_.suspects.size() >= rules_.max_suspects) {
    DropSuspect(by_evidence_.begin()->second);
  }
  entry.crashes.push_back(crash);
  if (entry.crashes.size() > kMaxStoredCrashes) entry.crashes.erase(entry.crashes.begin());
  entry.evidence += kEvidencePerCrash / std::max<std::int64_t>(in_progress, 1);
  entry.last_crash = state_.latest_time;
  AddToIndexes(request, entry);
  const std::size_t crashes = entry.crashes.size();
  state_.suspects.emplace(request, std::move(entry));
  if (crashes < kMinCrashes) return false;
  if (!is_only_repeated && crashes < rules_.sufficient_crashes &&
      state_.suspects.at(request).evidence < rules_.min_evidence) {
    return false;
  }
  Quarantine(request);
  return true;
}

void crash_tracker::Quarantine(kernel::fingerprint request) {
  EndQuarantine(request);
  if (state_.quarantined.size() >= kMaxQuarantined) EndQuarantine(by_end_.begin()->second);
  const kernel::log_time until(state_.latest_time.value() + kQuarantineDuration.count());
  state_.quarantined.emplace(request, until);
  by_end_.emplace(until, request);
}

void crash_tracker::EndQuarantine(kernel::fingerprint request) {
  const auto found = state_.quarantined.find(request);
  if (found == state_.quarantined.end()) return;
  by_end_.erase({found->second, request});
  state_.quarantined.erase(found);
  state_.services.erase(request);
}

void crash_tracker::DropSuspect(kernel::fingerprint request) {
  const auto found = state_.suspects.find(request);
  if (found == state_.suspects.end()) return;
  by_age_.erase({found->second.last_crash, request});
  by_evidence_.erase({{found->second.evidence, found->second.last_crash}, request});
  state_.suspects.erase(found);
}

void crash_tracker::AddToIndexes(kernel::fingerprint request, const suspect& entry) {
  by_age_.emplace(entry.last_crash, request);
  by_evidence_.emplace(evidence_rank{entry.evidence, entry.last_crash}, request);
}

}  // namespace cornelweir::quarantine
