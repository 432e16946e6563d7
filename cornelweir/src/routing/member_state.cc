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

std::int64_t HalfWindow(kernel::time_point now) {
  return now.time_since_epoch() / (kFailureWindow / 2);
}

}  // namespace

void member_state::Announce(const upstream_candidate& candidate, std::uint64_t revision,
                            bool slow_start, kernel::time_point now) {
  if (!announced_ || candidate_.incarnation != candidate.incarnation) {
    const std::int64_t in_progress = in_progress_;
    *this = member_state();
    in_progress_ = in_progress;
    in_progress_before_ = in_progress;
    if (slow_start) slow_start_ = now;
  }
  candidate_ = candidate;
  announced_ = true;
  revision_ = revision;
}

void member_state::WithdrawUnless(std::uint64_t revision) {
  if (revision_ != revision) announced_ = false;
}

void member_state::OnStart() { ++in_progress_; }

void member_state::OnFinish(finish_kind kind, kernel::microseconds latency,
                            kernel::time_point now) {
  if (in_progress_ > 0) --in_progress_;
  if (in_progress_before_ > 0) {
    --in_progress_before_;
    return;
  }
  if (kind == finish_kind::kUnreachable) {
    unreachable_time_ = std::clamp(2 * unreachable_time_, kFirstUnreachable, kLongestUnreachable);
    unreachable_until_ = now + unreachable_time_;
    return;
  }
  if (kind != finish_kind::kCancelled) unreachable_time_ = kernel::microseconds::zero();
  switch (kind) {
    case finish_kind::kSuccess:
      latency_ = HasLatency(now)
                     ? latency_ + kSampleWeight * (static_cast<double>(latency.count()) - latency_)
                     : static_cast<double>(latency.count());
      latency_at_ = now;
      failures_in_a_row_ = 0;
      Observe(false, now);
      CountForRate(false, now);
      if (state_ == health::kProbed && ++probes_succeeded_ >= kProbesToRecover) Trust(now);
      break;
    case finish_kind::kFailure:
      ++failures_in_a_row_;
      Observe(true, now);
      CountForRate(true, now);
      if (state_ == health::kProbed) Eject(now);
      break;
    case finish_kind::kRefused:
      Observe(true, now);
      break;
    case finish_kind::kCancelled:
    case finish_kind::kUnreachable:
      break;
  }
}

void member_state::Eject(kernel::time_point now) {
  if (state_ == health::kTrusted && now - trusted_since_ >= kEjectionMemory) ejections_ = 0;
  kernel::microseconds time = kFirstEjection;
  for (int i = 0; i < ejections_ && time < kLongestEjection; ++i) time *= 2;
  ejected_until_ = now + std::min(time, kLongestEjection);
  ++ejections_;
  state_ = health::kEjected;
}

void member_state::Trust(kernel::time_point now) {
  state_ = health::kTrusted;
  trusted_since_ = now;
  failures_in_a_row_ = 0;
  requests_ = {};
  failures_ = {};
}

void member_state::Readmit(kernel::time_point now) {
  state_ = health::kTrusted;
  trusted_since_ = now;
  failures_in_a_row_ = kFailuresInARow;
}

bool member_state::IsUsable(kernel::time_point now) {
  if (!counts_in_subset() || candidate_.slots.value() <= 0) return false;
  if (state_ == health::kEjected && now >= ejected_until_) {
    state_ = health::kProbed;
    probes_succeeded_ = 0;
  }
  if (state_ == health::kProbed) return in_progress_ == 0;
  return state_ == health::kTrusted;
}

bool member_state::IsFailing(kernel::time_point now) const {
  if (failures_in_a_row_ >= kFailuresInARow) return true;
  const std::int64_t half = HalfWindow(now);
  std::int64_t requests = 0;
  std::int64_t failures = 0;
  for (const std::int64_t counted : {half_, half_ - 1}) {
    if (counted < half - 1) continue;
    requests += requests_[static_cast<std::size_t>(counted & 1)];
    failures += failures_[static_cast<std::size_t>(counted & 1)];
  }
  return requests >= kFailureSample &&
         static_cast<double>(failures) >= kFailingShare * static_cast<double>(requests);
}

bool member_state::IsLoaded(kernel::time_point now) const {
  return static_cast<double>(in_progress_) >= kLoadedUse * EffectiveSlots(now) ||
         Pressure(now) >= kLoadedPressure;
}

double member_state::EffectiveSlots(kernel::time_point now) const {
  const auto slots = static_cast<double>(candidate_.slots.value());
  if (!slow_start_ || now - *slow_start_ >= kSlowStart) return slots;
  return slots * std::max(kSlowStartFloor, Ratio(now - *slow_start_, kSlowStart));
}

double member_state::Cost(kernel::time_point now, bool with_latency) const {
  const double use = static_cast<double>(in_progress_) / EffectiveSlots(now);
  const double cost = (1 + kUseCost * use) * (1 + kPressureCost * Pressure(now));
  return with_latency ? cost * std::max(latency_, 1.0) : cost;
}

bool member_state::HasLatency(kernel::time_point now) const {
  return latency_at_ && now - *latency_at_ < kLatencyMemory;
}

double member_state::Pressure(kernel::time_point now) const {
  return pressure_ * std::exp(-Ratio(now - pressure_at_, kPressureDecay));
}

void member_state::Observe(bool bad, kernel::time_point now) {
  pressure_ = Pressure(now);
  pressure_ += kSampleWeight * ((bad ? 1.0 : 0.0) - pressure_);
  pressure_at_ = now;
}

void member_state::CountForRate(bool failed, kernel::time_point now) {
  const std::int64_t half = HalfWindow(now);
  const auto slot = static_cast<std::size_t>(half & 1);
  if (half != half_) {
    requests_[slot] = failures_[slot] = 0;
    if (half != half_ + 1) requests_[1 - slot] = failures_[1 - slot] = 0;
    half_ = half;
  }
  ++requests_[slot];
  if (failed) ++failures_[slot];
}

}  // namespace cornelweir::routing::internal
