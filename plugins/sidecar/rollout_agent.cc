#include "plugins/sidecar/rollout_agent.h"

#include <utility>

#include "cornelweir/logging.h"
#include "plugins/sidecar/upstream_dispatcher.h"
#include "plugins/wall_clock.h"

namespace cornelweir::plugins::sidecar {
namespace internal {

constexpr kernel::milliseconds kRolloutTickPeriod{50};

}  // namespace internal

rollout_agent::rollout_agent(daemon_context& context, upstream_dispatcher& dispatcher,
                             report_function report)
    : context_(context),
      dispatcher_(dispatcher),
      report_(std::move(report)),
      table_(context.random.NextU64()),
      guard_(table_),
      timer_(context.loop) {
  dispatcher_.UseGuard(guard_);
}

const rollout::rollout_record* rollout_agent::OwnRecord() const {
  return table_.Find(dispatcher_.service());
}

void rollout_agent::Apply(const std::vector<rollout::rollout_record>& records) {
  // Only a host that is current sends records.
  guard_.OnConfirmed(context_.pauses.InputArrival(Now()));
  if (!table_.Apply(records, Now())) return;
  for (const rollout::rollout_record& record : records) {
    logging::event(logging::event_id::kRolloutApplied)
        .With("service", record.service)
        .With("target", record.target)
        .With("state", static_cast<int>(record.state))
        .With("share", record.share)
        .With("revision", record.revision);
  }
  UpdateGuard();
  CheckAdmission();
  const rollout::rollout_record* const own = OwnRecord();
  if (own == nullptr || !rollout::IsRunning(*own)) {
    timer_.Cancel();
    return;
  }
  if (timer_.running()) return;
  // Daemons learn of a rollout at the same time, but must not report all at once.
  const auto period =
      static_cast<std::uint64_t>(kernel::microseconds(rollout::kSamplePeriod).count());
  reported_at_ = Now() - kernel::microseconds(kernel::UniformBelow(context_.random, period));
  timer_.StartPeriodic(internal::kRolloutTickPeriod, [this] { Tick(); });
}

void rollout_agent::OnConfirmed() {
  guard_.OnConfirmed(context_.pauses.InputArrival(Now()));
  CheckAdmission();
}

void rollout_agent::OnUpstreamChanged() {
  UpdateGuard();
  was_admitted_ = IsAdmitted();
}

bool rollout_agent::IsAdmitted() const {
  return guard_.Admits(dispatcher_.service(), dispatcher_.version(), Now());
}

void rollout_agent::UpdateGuard() {
  const rollout::rollout_record* const own = OwnRecord();
  if (own == nullptr) return;
  guard_.Update(own->service, dispatcher_.upstream(), dispatcher_.version(),
                SinceEpoch() - kernel::milliseconds(own->started_at_ms), Now());
}

void rollout_agent::CheckAdmission() {
  const bool is_admitted = IsAdmitted();
  if (is_admitted == was_admitted_) return;
  was_admitted_ = is_admitted;
  const rollout::rollout_record* const own = OwnRecord();
  if (!is_admitted && own != nullptr && rollout::Admits(*own, dispatcher_.version())) {
    logging::event(logging::event_id::kRolloutUnconfirmed)
        .With("service", own->service)
        .With("version", dispatcher_.version())
        .With("share", own->share);
  }
  dispatcher_.OnAdmissionChanged();
}

void rollout_agent::Tick() {
  CheckAdmission();
  if (Now() - reported_at_ >= rollout::kSamplePeriod) Report();
}

void rollout_agent::Report() {
  const rollout::rollout_record* const own = OwnRecord();
  if (own == nullptr || !rollout::IsRunning(*own)) {
    timer_.Cancel();
    return;
  }
  reported_at_ = Now();
  const protocol::upstream_report state = dispatcher_.Report();
  rollout::rollout_sample sample;
  sample.daemon = context_.settings.sidecar->peers_listen;
  sample.service = own->service;
  sample.revision = own->revision;
  sample.version = state.version;
  sample.open = state.accepting;
  if (state.accepting && state.warm_up_left == kernel::microseconds::zero()) {
    sample.slots = state.load.slots;
  }
  sample.in_progress = state.load.in_progress;
  sample.queued = state.load.queued;
  sample.counted_since = guard_.counters().started_at().time_since_epoch();
  sample.routes = guard_.counters().routes();
  report_(sample);
}

}  // namespace cornelweir::plugins::sidecar
