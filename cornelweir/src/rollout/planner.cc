#include "cornelweir/src/rollout/planner.h"

#include <algorithm>

#include "cornelweir/src/rollout/limits.h"

namespace cornelweir::rollout {
namespace internal {

constexpr std::int64_t kPercent = 100;

kernel::microseconds PercentOf(kernel::milliseconds duration, std::int64_t percent) {
  return kernel::microseconds(duration) * percent / kPercent;
}

kernel::traffic_share NextShare(kernel::traffic_share share) {
  const auto* const next = std::upper_bound(kShareSteps.begin(), kShareSteps.end(), share);
  return next == kShareSteps.end() ? kernel::kAllTraffic : *next;
}

bool HasRoom(kernel::traffic_share share, const rollout_progress& progress) {
  return progress.target_slots > 0 &&
         progress.requests * share.value() * kPercent <=
             progress.target_slots * kernel::kAllTraffic.value() * kUsableSlotsPercent;
}

}  // namespace internal

kernel::microseconds CanaryTime(kernel::milliseconds duration) {
  const auto further_steps = static_cast<std::int64_t>(kShareSteps.size() - 1);
  return std::max<kernel::microseconds>(
      std::min<kernel::microseconds>(kMinCanaryTime, duration / kLowTrafficTimeDivisor),
      internal::PercentOf(duration, kStepsEndPercent) - kStepTime * further_steps);
}

kernel::microseconds TimeToCompletion(const rollout_record& record) {
  // Late in the duration, the last step may follow any other.
  if (record.share > kCanaryShare) return kStepTime;
  const auto further_steps = static_cast<std::int64_t>(kShareSteps.size() - 1);
  return std::min<kernel::microseconds>(
      CanaryTime(record.duration) + kStepTime * further_steps,
      internal::PercentOf(record.duration, kLatestStepPercent) + kStepTime);
}

std::optional<rollout_step> NextStep(const rollout_record& record,
                                     const rollout_progress& progress) {
  if (!IsRunning(record)) return std::nullopt;
  if (progress.bad) {
    return rollout_step{kernel::kNoTraffic, rollout_state::kRolledBack, "bad version"};
  }
  // A new leader knows too little before the daemons have reported to it.
  if (progress.collecting) return std::nullopt;
  if (record.share == kernel::kAllTraffic) {
    if (progress.step_elapsed < kStepTime || progress.unfinished_daemons > 0) return std::nullopt;
    return rollout_step{kernel::kAllTraffic, rollout_state::kCompleted, "completed"};
  }
  if (progress.elapsed >= record.duration && progress.target_slots == 0) {
    return rollout_step{kernel::kNoTraffic, rollout_state::kRolledBack,
                        "no upstream of the version is ready at the time limit"};
  }
  if (progress.elapsed >= internal::PercentOf(record.duration, kLatestStepPercent) &&
      progress.target_slots > 0) {
    return rollout_step{kernel::kAllTraffic, rollout_state::kRunning, "the time limit is near"};
  }
  if (record.share <= kCanaryShare) {
    if (progress.elapsed < CanaryTime(record.duration) || !progress.evidence_suffices) {
      return std::nullopt;
    }
  } else if (progress.step_elapsed < kStepTime) {
    return std::nullopt;
  }
  const kernel::traffic_share next = internal::NextShare(record.share);
  if (!internal::HasRoom(next, progress)) return std::nullopt;
  return rollout_step{next, rollout_state::kRunning, "no evidence against the version"};
}

}  // namespace cornelweir::rollout
