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
  kernel::microseconds time{};
  for (const kernel::traffic_share& share : kShareSteps) {
    if (share < record.share) continue;
    time += share == kCanaryShare ? CanaryTime(record.duration) : kernel::microseconds(kStepTime);
  }
  return time;
}

std::optional<rollout_step> NextStep(const rollout_record& record,
                                     const rollout_progress& progress) {
  if (!IsRunning(record)) return std::nullopt;
  if (progress.bad) {
    return rollout_step{kernel::kNoTraffic, rollout_state::kRolledBack, "bad version"};
  }
  if (record.share == kernel::kAllTraffic) {
    if (progress.step_elapsed < kStepTime || progress.unfinished_daemons > 0) return std::nullopt;
    return rollout_step{kernel::kAllTraffic, rollout_state::kCompleted, "completed"};
  }
  if (progress.elapsed >= record.duration && progress.target_slots == 0) {
    return rollout_step{kernel::kNoTraffic, rollout_state::kRolledBack,
                        "no upstream of the version is ready at the time limit"};
  }
  if (record.share <= kCanaryShare) {
    if (progress.elapsed < CanaryTime(record.duration) || !progress.evidence_suffices) {
      return std::nullopt;
    }
  } else if (progress.step_elapsed < kStepTime) {
    return std::nullopt;
  }
  const kernel::traffic_share next = internal::NextShare(record.share);
  const bool late = progress.elapsed >= internal::PercentOf(record.duration, kLatestStepPercent) &&
                    progress.target_slots > 0;
  if (!late && !internal::HasRoom(next, progress)) return std::nullopt;
  return rollout_step{next, rollout_state::kRunning, "no evidence against the version"};
}

}  // namespace cornelweir::rollout
