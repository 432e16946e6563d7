#include "plugins/control/rollout_controller.h"

#include <optional>
#include <utility>

#include "cornelweir/logging.h"
#include "plugins/control/control_plugin.h"
#include "plugins/wall_clock.h"

namespace cornelweir::plugins::control {
namespace internal {

// Reports that arrive within this period are forwarded to the leader in one message.
constexpr kernel::milliseconds kFlushPeriod{50};

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
    const bool known =
        found != active_.end() && found->second.tracker.record().started == record.started;
    if (known && found->second.tracker.record().revision == record.revision) continue;
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
    if (known) {
      found->second.tracker.OnStep(record, now);
    } else {
      active_.insert_or_assign(service, active_rollout{rollout::rollout_tracker(record, now)});
    }
  }
}

void rollout_controller::OnLeadershipChanged(bool is_leader) {
  if (!is_leader) return;
  for (auto& [service, active] : active_) {
    active.proposing = false;
    active.tracker.BeginLeading(Now());
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
  if (found != active_.end()) found->second.tracker.Receive(sample, Now());
}

void rollout_controller::Evaluate() {
  if (!owner_.local_replica().node().IsLeader()) return;
  for (auto& [service, active] : active_) {
    if (!active.proposing) Evaluate(active);
  }
}

void rollout_controller::Evaluate(active_rollout& active) {
  const rollout::rollout_record& record = active.tracker.record();
  const rollout::rollout_verdict verdict = active.tracker.Evaluate(
      DaemonsOf(record.service), SinceEpoch() - kernel::milliseconds(record.started_at_ms), Now());
  if (verdict.bad) internal::LogFinding(record, *verdict.bad);
  if (verdict.step) Propose(active, *verdict.step);
}

std::vector<kernel::endpoint> rollout_controller::DaemonsOf(
    const kernel::service_name& service) const {
  std::vector<kernel::endpoint> daemons;
  for (const membership::roster_entry* entry : owner_.roster().EntriesOf(service)) {
    daemons.push_back(entry->daemon);
  }
  return daemons;
}

void rollout_controller::Propose(active_rollout& active, const rollout::rollout_step& step) {
  const rollout::rollout_record& record = active.tracker.record();
  active.proposing = true;
  logging::event(logging::event_id::kRolloutStepProposed)
      .With("service", record.service)
      .With("target", record.target)
      .With("state", internal::StateName(step.state))
      .With("share", step.share)
      .With("reason", step.reason);
  owner_.Submit(cornelweir::control::advance_rollout_command{record.service, record.started,
                                                             step.share, step.state},
                [this, service = record.service](const auto&) {
                  const auto found = active_.find(service);
                  if (found != active_.end()) found->second.proposing = false;
                });
}

}  // namespace cornelweir::plugins::control
