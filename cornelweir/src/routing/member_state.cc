#include "cornelweir/src/routing/member_state.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "cornelweir/src/routing/limits.h"

namespace cornelweir::routing::internal {
namespace {

double Ratio(kernel::microseconds part, kernel::microseconds whole) {
  return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

std::int64_t HalfWindowNumber(kernel::time_point now) {
  return now.time_since_epoch() / (kFailureWindow / 2);
}

}  // namespace

void member_state::Announce(const upstream_candidate& candidate, std::uint64_t revision,
                            bool slow_start, kernel::time_point now) {
  if (!announced_ || candidate_.incarnation != candidate.incarnation) {
    const std::int64_t in_progress = in_progress_;
    *this = member_state();
    in_progress_ = in_progress;
    stale_in_progress_ = in_progress;
    if (slow_start) slow_start_began_at_ = now;
  }
  candidate_ = candidate;
  announced_ = true;
  revision_ = revision;
}

void member_state::WithdrawIfStale(std::uint64_t revision) {
  if (revision_ != revision) announced_ = false;
}

void member_state::OnStart() { ++in_progress_; }

void member_state::OnFinish(finish_kind kind, kernel::microseconds latency,
                            kernel::time_point now) {
  if (in_progress_ > 0) --in_progress_;
  if (stale_in_progress_ > 0) {
    --stale_in_progress_;
    return;
  }
  if (kind == finish_kind::kUnreachable) {
    unreachable_backoff_ =
        std::clamp(2 * unreachable_backoff_, kMinUnreachableBackoff, kMaxUnreachableBackoff);
    unreachable_until_ = now + unreachable_backoff_;
    return;
  }
  if (kind != finish_kind::kCancelled) unreachable_backoff_ = kernel::microseconds::zero();
  switch (kind) {
    case finish_kind::kSuccess:
      mean_latency_us_ =
          HasLatency(now) ? mean_latency_us_ + kEwmaWeight * (static_cast<double>(latency.count()) -
                                                              mean_latency_us_)
                          : static_cast<double>(latency.count());
      latency_updated_at_ = now;
      consecutive_failures_ = 0;
      UpdateErrorRate(false, now);
      CountInWindow(false, now);
      if (state_ == health::kProbing && ++successful_probes_ >= kProbesToRecover) MarkHealthy(now);
      break;
    case finish_kind::kFailure:
      ++consecutive_failures_;
      UpdateErrorRate(true, now);
      CountInWindow(true, now);
      if (state_ == health::kProbing) Eject(now);
      break;
    case finish_kind::kRefused:
      UpdateErrorRate(true, now);
      break;
    case finish_kind::kCancelled:
    case finish_kind::kUnreachable:
      break;
  }
}

void member_state::Eject(kernel::time_point now) {
  if (state_ == health::kHealthy && now - healthy_since_ >= kEjectionCountResetTime) ejections_ = 0;
  kernel::microseconds ejection_time = kBaseEjectionTime;
  for (int i = 0; i < ejections_ && ejection_time < kMaxEjectionTime; ++i) ejection_time *= 2;
  ejected_until_ = now + std::min(ejection_time, kMaxEjectionTime);
  ++ejections_;
  state_ = health::kEjected;
}

void member_state::MarkHealthy(kernel::time_point now) {
  state_ = health::kHealthy;
  healthy_since_ = now;
  consecutive_failures_ = 0;
  requests_ = {};
  failures_ = {};
}

void member_state::Readmit(kernel::time_point now) {
  state_ = health::kHealthy;
  healthy_since_ = now;
  consecutive_failures_ = kConsecutiveFailureThreshold;
}

bool member_state::IsUsable(kernel::time_point now) {
  if (!counts_in_subset() || candidate_.slots.value() <= 0) return false;
  if (state_ == health::kEjected && now >= ejected_until_) {
    state_ = health::kProbing;
    successful_probes_ = 0;
  }
  if (state_ == health::kProbing) return in_progress_ == 0;
  return state_ == health::kHealthy;
}

bool member_state::IsFailing(kernel::time_point now) const {
  if (consecutive_failures_ >= kConsecutiveFailureThreshold) return true;
  const std::int64_t half_window = HalfWindowNumber(now);
  std::int64_t requests = 0;
  std::int64_t failures = 0;
  for (const std::int64_t counted_half_window : {current_half_window_, current_half_window_ - 1}) {
    if (counted_half_window < half_window - 1) continue;
    requests += requests_[static_cast<std::size_t>(counted_half_window & 1)];
    failures += failures_[static_cast<std::size_t>(counted_half_window & 1)];
  }
  return requests >= kMinFailureRateRequests &&
         static_cast<double>(failures) >= kFailureRateThreshold * static_cast<double>(requests);
}

bool member_state::IsLoaded(kernel::time_point now) const {
  return static_cast<double>(in_progress_) >= kLoadedUtilization * EffectiveSlots(now) ||
         ErrorRate(now) >= kLoadedErrorRate;
}

double member_state::EffectiveSlots(kernel::time_point now) const {
  const auto slots = static_cast<double>(candidate_.slots.value());
  if (!slow_start_began_at_ || now - *slow_start_began_at_ >= kSlowStartDuration) return slots;
  return slots *
         std::max(kMinSlowStartShare, Ratio(now - *slow_start_began_at_, kSlowStartDuration));
}

double member_state::Cost(kernel::time_point now, bool with_latency) const {
  const double utilization = static_cast<double>(in_progress_) / EffectiveSlots(now);
  const double cost = (1 + kUtilizationCost * utilization) * (1 + kErrorRateCost * ErrorRate(now));
  return with_latency ? cost * std::max(mean_latency_us_, 1.0) : cost;
}

bool member_state::HasLatency(kernel::time_point now) const {
  return latency_updated_at_ && now - *latency_updated_at_ < kMaxLatencyAge;
}

double member_state::ErrorRate(kernel::time_point now) const {
  return error_rate_ * std::exp(-Ratio(now - error_rate_updated_at_, kErrorRateDecayTime));
}

void member_state::UpdateErrorRate(bool failed, kernel::time_point now) {
  error_rate_ = ErrorRate(now);
  error_rate_ += kEwmaWeight * ((failed ? 1.0 : 0.0) - error_rate_);
  error_rate_updated_at_ = now;
}

void member_state::CountInWindow(bool failed, kernel::time_point now) {
  const std::int64_t half_window = HalfWindowNumber(now);
  const auto slot = static_cast<std::size_t>(half_window & 1);
  if (half_window != current_half_window_) {
    requests_[slot] = failures_[slot] = 0;
    if (half_window != current_half_window_ + 1) requests_[1 - slot] = failures_[1 - slot] = 0;
    current_half_window_ = half_window;
  }
  ++requests_[slot];
  if (failed) ++failures_[slot];
}

}  // namespace cornelweir::routing::internal
