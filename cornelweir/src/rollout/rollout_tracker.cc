#include "cornelweir/src/rollout/rollout_tracker.h"

#include <algorithm>

#include "cornelweir/src/rollout/limits.h"

namespace cornelweir::rollout {

rollout_tracker::rollout_tracker(const rollout_record& record, kernel::time_point now)
    : record_(record), started_at_(now), step_started_at_(now), collecting_since_(now) {
  evidence_.StartStep(record);
}

void rollout_tracker::OnStep(const rollout_record& record, kernel::time_point now) {
  record_ = record;
  step_started_at_ = now;
  evidence_.StartStep(record);
}

void rollout_tracker::BeginLeading(kernel::time_point now) {
  collecting_since_ = now;
  daemons_.clear();
  evidence_ = {};
  evidence_.StartStep(record_);
}

void rollout_tracker::Receive(const rollout_sample& sample, kernel::time_point now) {
  daemons_[sample.daemon] = {sample, now};
  evidence_.Receive(sample);
}

rollout_verdict rollout_tracker::Evaluate(const std::vector<kernel::endpoint>& daemons,
                                          kernel::microseconds since_order,
                                          kernel::time_point now) {
  rollout_verdict verdict;
  verdict.bad = evidence_.Judge(now);
  rollout_progress progress = Progress(daemons, since_order, now);
  progress.bad = verdict.bad.has_value();
  verdict.step = NextStep(record_, progress);
  return verdict;
}

rollout_progress rollout_tracker::Progress(const std::vector<kernel::endpoint>& daemons,
                                           kernel::microseconds since_order,
                                           kernel::time_point now) const {
  rollout_progress progress;
  // A host that restarted during the rollout has learned of it late.
  progress.elapsed = std::max<kernel::microseconds>(now - started_at_, since_order);
  progress.step_elapsed = now - step_started_at_;
  progress.collecting = now - collecting_since_ < kCollectTime;
  progress.evidence_suffices = evidence_.Suffices(progress.elapsed);
  progress.unfinished_daemons = CountUnfinished(daemons, now);
  for (const auto& [daemon, state] : daemons_) {
    if (now - state.reported_at > kMaxLoadAge) continue;
    progress.requests += state.latest.in_progress + state.latest.queued;
    if (BelongsTo(record_, version_group::kTarget, state.latest.version)) {
      progress.target_slots += state.latest.slots;
    }
  }
  return progress;
}

// Whether the upstream of the daemon runs no requests and takes no more under the record.
bool rollout_tracker::IsFinished(const rollout_sample& sample) const {
  return sample.revision == record_.revision && !sample.open && sample.in_progress == 0 &&
         sample.queued == 0;
}

// A daemon that has not reported for kSilentDaemonTime has closed its upstream by itself. As there
// is no report from before this host became leader, the time counts from then.
std::size_t rollout_tracker::CountUnfinished(const std::vector<kernel::endpoint>& daemons,
                                             kernel::time_point now) const {
  std::size_t unfinished = 0;
  for (const kernel::endpoint& daemon : daemons) {
    kernel::time_point reported_at = collecting_since_;
    const auto found = daemons_.find(daemon);
    if (found != daemons_.end()) {
      const daemon_state& state = found->second;
      reported_at = state.reported_at;
      if (BelongsTo(record_, version_group::kTarget, state.latest.version) ||
          IsFinished(state.latest)) {
        continue;
      }
    }
    if (now - reported_at < kSilentDaemonTime) ++unfinished;
  }
  return unfinished;
}

}  // namespace cornelweir::rollout
