#include "cornelweir/src/quarantine/crash_detector.h"

#include <algorithm>
#include <utility>

#include "cornelweir/src/quarantine/request_fingerprint.h"

namespace cornelweir::quarantine {

void crash_detector::OnBroken(kernel::fingerprint request, bool resent, kernel::time_point now) {
  if (request == kNoFingerprint) return;
  if (broken_.size() >= kMaxReportedRequests) broken_.erase(broken_.begin());
  broken_.push_back({request, resent, now});
}

crash_suspects crash_detector::OnRefused(kernel::time_point now) {
  return TakeSuspects(kCrashWindow, now);
}

crash_suspects crash_detector::OnReplaced(kernel::time_point now) {
  return TakeSuspects(kRestartWindow, now);
}

crash_suspects crash_detector::TakeSuspects(kernel::microseconds window, kernel::time_point now) {
  crash_suspects recent;
  for (const broken_request& broken : std::exchange(broken_, {})) {
    if (now - broken.broken_at > window) continue;
    recent.requests.push_back(broken.request);
    if (broken.resent) recent.resent.push_back(broken.request);
  }
  std::sort(recent.requests.begin(), recent.requests.end());
  recent.requests.erase(std::unique(recent.requests.begin(), recent.requests.end()),
                        recent.requests.end());
  recent.requests = completions_.Suspects(recent.requests, now);
  return recent;
}

}  // namespace cornelweir::quarantine
