#include "plugins/control/rollout_controller.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "cornelweir/logging.h"
#include "plugins/control/control_plugin.h"
#include "plugins/wall_clock.h"

namespace cornelweir::plugins::control {
namespace internal {

// Reports that arrive within this period are forwarded to the leader in one message.
constexpr kernel::milliseconds kFlushPeriod{50};
// An older report says nothing about the load of an upstream.
constexpr kernel::milliseconds kMaxLoadAge{1'000};

std::string_view StateName(rollout::rollout_state state) {
  switch (state) {
    case rollout::rollout_state::kRunning:
      return "running";
    case rollout::rollout_state::kCompleted:
      return "completed";
    case rollout::rollout_state::kRolledBack:
      return "rolled-back";
  }
  return "";
}

// Whether the upstream of the daemon runs no requests and takes no more under the record.
bool IsFinished(const rollout::rollout_sample& sample, const rollout::rollout_record& record) {
  return sample.revision == record.revision && !sample.open && sample.in_progress == 0 &&
         sample.queued == 0;
}

void LogFinding(const rollout::rollout_record& record, const rollout::bad_route& bad) {
  constexpr double kMedian = 0.5;
  const auto median_ms = [](const rollout::route_evidence& evidence) {
    return kernel::ToMilliseconds(evidence.run_times.Quantile(kMedian)).count();
  };
  logging::event(logging::event_id::kRolloutJudgedBad)
      .With("service", record.service)
      .With("target", record.target)
      .With("route", bad.route)
      .With("finding", bad.found == rollout::finding::kFailures ? "failures" : "slowness")
      .With("target_responses", bad.evidence.target.responses)
      .With("target_failures", bad.evidence.target.failures)
      .With("target_median_ms", median_ms(bad.evidence.target))
      .With("released_responses", bad.evidence.released.responses)
      .With("released_failures", bad.evidence.released.failures)
      .With("released_median_ms", median_ms(bad.evidence.released));
}

}  // namespace internal

rollout_controller::rollout_controller(control_plugin& owner, loop::event_loop& loop)
    : owner_(owner), flush_timer_(loop), evaluation_timer_(loop) {}

void rollout_controller::Start() {
  OnRecordsChanged();
  flush_timer_.StartPeriodic(internal::kFlushPeriod, [this] { Flush(); });
  evaluation_timer_.StartPeriodic(rollout::kSamplePeriod, [this] { Evaluate(); });
}

void rollout_controller::Stop() {
  flush_timer_.Cancel();
  evaluation_timer_.Cancel();
}

void rollout_controller::OnRecordsChanged() {
  const kernel::time_point now = Now();
  for (const auto& [service, record] : owner_.local_replica().machine().rollouts().records()) {
    const auto found = active_.find(service);
    if (!rollout::IsRunning(record) && found == active_.end()) continue;
    const bool known = found != active_.end() && found->second.record.started == record.started;
    if (known && found->second.record.revision == record.revision) continue;
    logging::event(logging::event_id::kRolloutChanged)
        .With("service", service)
        .With("target", record.target)
        .With("state", internal::StateName(record.state))
        .With("share", record.share)
        .With("revision", record.revision);
    owner_.metrics()
        .Counter("cornelweir_rollout_steps_total", "Changes of rollouts by their new state",
                 {{"state", std::string(internal::StateName(record.state))}})
        .Increment();
    if (!rollout::IsRunning(record)) {
      active_.erase(found);
      continue;
    }
    active_rollout& active = active_[service];
    if (!known) {
      active = {};
      active.started_at = now;
    }
    active.record = record;
    active.step_started_at = now;
    active.evidence.StartStep(record);
  }
}

// The reports that this host received as the leader before are outdated. Their evidence would be
// counted twice, as the counters of the daemons are cumulative.
void rollout_controller::OnLeadershipChanged(bool is_leader) {
  if (!is_leader) return;
  leader_since_ = Now();
  for (auto& [service, active] : active_) {
    active.daemons.clear();
    active.proposing = false;
    active.evidence = {};
    active.evidence.StartStep(active.record);
  }
}

void rollout_controller::Receive(const rollout::rollout_sample& sample) {
  if (owner_.local_replica().node().IsLeader()) {
    Collect(sample);
  } else {
    pending_.samples.push_back(sample);
  }
}

void rollout_controller::Receive(const protocol::rollout_samples& samples) {
  if (!owner_.local_replica().node().IsLeader()) return;
  for (const rollout::rollout_sample& sample : samples.samples) Collect(sample);
}

void rollout_controller::Flush() {
  if (pending_.samples.empty()) return;
  owner_.SendToLeader(std::exchange(pending_, {}));
}

void rollout_controller::Collect(const rollout::rollout_sample& sample) {
  const auto found = active_.find(sample.service);
  if (found == active_.end()) return;
  found->second.daemons[sample.daemon] = {sample, Now()};
  found->second.evidence.Receive(sample);
}

void rollout_controller::Evaluate() {
  if (!owner_.local_replica().node().IsLeader()) return;
  for (auto& [service, active] : active_) {
    if (!active.proposing) Evaluate(active);
  }
}

void rollout_controller::Evaluate(active_rollout& active) {
  rollout::rollout_progress progress = Progress(active);
  const std::optional<rollout::bad_route> bad = active.evidence.Judge(Now());
  progress.bad = bad.has_value();
  if (bad) internal::LogFinding(active.record, *bad);
  if (const auto step = rollout::NextStep(active.record, progress)) Propose(active, *step);
}

rollout::rollout_progress rollout_controller::Progress(const active_rollout& active) const {
  const kernel::time_point now = Now();
  rollout::rollout_progress progress;
  // A host that restarted during the rollout has learned of it late.
  progress.elapsed = std::max<kernel::microseconds>(
      now - active.started_at, SinceEpoch() - kernel::milliseconds(active.record.started_at_ms));
  progress.step_elapsed = now - active.step_started_at;
  progress.evidence_suffices = active.evidence.Suffices(progress.elapsed);
  progress.unfinished_daemons = CountUnfinished(active);
  for (const auto& [daemon, state] : active.daemons) {
    if (now - state.reported_at > internal::kMaxLoadAge) continue;
    progress.requests += state.latest.in_progress + state.latest.queued;
    if (BelongsTo(active.record, rollout::version_group::kTarget, state.latest.version)) {
      progress.target_slots += state.latest.slots;
    }
  }
  return progress;
}

// A daemon that has not reported for kSilentDaemonTime has closed its upstream by itself. As there
// is no report from before this host became leader, the time counts from then.
std::size_t rollout_controller::CountUnfinished(const active_rollout& active) const {
  const kernel::time_point now = Now();
  std::size_t unfinished = 0;
  for (const membership::roster_entry* entry : owner_.roster().EntriesOf(active.record.service)) {
    kernel::time_point reported_at = std::max(leader_since_, active.started_at);
    const auto found = active.daemons.find(entry->daemon);
    if (found != active.daemons.end()) {
      const daemon_state& state = found->second;
      reported_at = state.reported_at;
      if (BelongsTo(active.record, rollout::version_group::kTarget, state.latest.version) ||
          internal::IsFinished(state.latest, active.record)) {
        continue;
      }
    }
    if (now - reported_at < rollout::kSilentDaemonTime) ++unfinished;
  }
  return unfinished;
}

void rollout_controller::Propose(active_rollout& active, const rollout::rollout_step& step) {
  active.proposing = true;
  logging::event(logging::event_id::kRolloutStepProposed)
      .With("service", active.record.service)
      .With("target", active.record.target)
      .With("state", internal::StateName(step.state))
      .With("share", step.share)
      .With("reason", step.reason);
  owner_.Submit(
      cornelweir::control::advance_rollout_command{active.record.service, active.record.started,
                                                   step.share, step.state},
      [this, service = active.record.service](const auto&) {
        const auto found = active_.find(service);
        if (found != active_.end()) found->second.proposing = false;
      });
}

}  // namespace cornelweir::plugins::control
