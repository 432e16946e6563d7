#include "cornelweir/src/storage/storage_health.h"

#include <algorithm>

#include "cornelweir/src/storage/limits.h"

namespace cornelweir::storage {

std::string_view StateName(storage_state state) {
  switch (state) {
    case storage_state::kHealthy:
      return "healthy";
    case storage_state::kFailing:
      return "failing";
    case storage_state::kRecovering:
      return "recovering";
  }
  return "unknown";
}

void storage_health::OnFault(kernel::time_point now) {
  if (state_ == storage_state::kHealthy) {
    unstable_ = outages_ > 0 && now - recovered_at_ < kStablePeriod;
    if (!unstable_) delay_ = kernel::microseconds::zero();
    failed_at_ = now;
    next_report_ = now + kOutageReportPeriod;
    attempts_ = 0;
    ++outages_;
  }
  state_ = storage_state::kFailing;
  const kernel::milliseconds max_delay = unstable_ ? kMaxUnstableRetryDelay : kMaxRetryDelay;
  delay_ = std::clamp<kernel::microseconds>(2 * delay_, kMinRetryDelay, max_delay);
  next_attempt_ = now + delay_;
}

bool storage_health::IsAttemptDue(kernel::time_point now) const {
  return state_ == storage_state::kFailing && now >= next_attempt_;
}

void storage_health::OnAttempt() {
  state_ = storage_state::kRecovering;
  ++attempts_;
}

storage_outage storage_health::OnRecovered(kernel::time_point now) {
  state_ = storage_state::kHealthy;
  recovered_at_ = now;
  return {now - failed_at_, attempts_};
}

std::optional<storage_outage> storage_health::CurrentOutage(kernel::time_point now) const {
  if (IsHealthy()) return std::nullopt;
  return storage_outage{now - failed_at_, attempts_};
}

bool storage_health::IsReportDue(kernel::time_point now) {
  if (IsHealthy() || now < next_report_) return false;
  next_report_ = now + kOutageReportPeriod;
  return true;
}

}  // namespace cornelweir::storage
