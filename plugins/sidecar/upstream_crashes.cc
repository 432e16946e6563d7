// The part of upstream_dispatcher that recognizes crashes of the upstream, and keeps requests that
// crash upstreams away from it.

#include <algorithm>
#include <utility>

#include "cornelweir/logging.h"
#include "plugins/fingerprint_text.h"
#include "plugins/sidecar/upstream_dispatcher.h"

namespace cornelweir::plugins::sidecar {

// A request that was in progress at a crash runs only while no other such request does, so that a
// second crash has one suspect.
std::optional<run_result> upstream_dispatcher::RefusalOf(const run& next) const {
  if (quarantine_ == nullptr) return std::nullopt;
  const kernel::fingerprint request = next.request.fingerprint;
  run_result refused;
  refused.quarantined_for = quarantine_->RefusedFor(request);
  if (refused.quarantined_for > kernel::microseconds::zero()) {
    refused.failure = protocol::run_failure::kNoUpstream;
    return refused;
  }
  if (!quarantine_->IsSuspect(request) || !RunsOtherSuspect(request)) return std::nullopt;
  refused.failure = protocol::run_failure::kNoCapacity;
  refused.retry_after = UsualRunTime(next.request.route);
  return refused;
}

bool upstream_dispatcher::RunsOtherSuspect(kernel::fingerprint request) const {
  return std::any_of(runs_.begin(), runs_.end(), [&](const auto& known) {
    const kernel::fingerprint running = known.second.request.fingerprint;
    return known.second.exchange && running != request && quarantine_->IsSuspect(running);
  });
}

bool upstream_dispatcher::RefuseAtStart(admission::ticket id) {
  const auto refusal = RefusalOf(runs_.at(id));
  if (!refusal) return false;
  context_.loop.Post([this, id, refused = *refusal] { Finish(id, refused); });
  StartAll(queue_.Release(id, std::nullopt, Now()));
  return true;
}

void upstream_dispatcher::OnCompleted(kernel::fingerprint request) {
  crashes_.OnCompleted(request);
  if (quarantine_ != nullptr) quarantine_->OnCompleted(request);
}

// The end of an upstream that has announced it is no crash.
bool upstream_dispatcher::MayBeCrash(const run& ended, const run_result& result) const {
  return !result.response && result.failure == protocol::run_failure::kUpstreamError &&
         announced_ && announced_->id == ended.upstream && !announced_->draining;
}

void upstream_dispatcher::Hold(admission::ticket id) {
  run& broken = runs_.at(id);
  CountEnd(broken);
  broken.exchange.reset();
  crashes_.OnBroken(id, broken.request.fingerprint, broken.was_suspect);
}

void upstream_dispatcher::FinishHeld(admission::ticket id) {
  const auto found = runs_.find(id);
  if (found == runs_.end()) return;
  run_result broken;
  broken.failure = protocol::run_failure::kUpstreamError;
  if (quarantine_ != nullptr) {
    broken.quarantined_for = quarantine_->RefusedFor(found->second.request.fingerprint);
  }
  Finish(id, std::move(broken));
}

// Closes the upstream at once, so that no request waits for a connection that is refused.
void upstream_dispatcher::OnCrash(const quarantine::crash_suspects& suspects) {
  ReportCrash(suspects);
  if (unavailable_ || !announced_) return;
  unavailable_ = true;
  OnStateChanged("crashed");
}

void upstream_dispatcher::ReportCrash(const quarantine::crash_suspects& suspects) {
  if (suspects.requests.empty() || !announced_) return;
  crash_count_.Increment();
  logging::event(logging::event_id::kUpstreamCrashed)
      .With("upstream", upstream())
      .With("service", service())
      .With("suspects", suspects.requests.size())
      .With("fingerprints", JoinFingerprints(suspects.requests));
  if (quarantine_ != nullptr) {
    quarantine_->OnCrash(
        {announced_->id, announced_->started_at, suspects.requests, suspects.resent});
  }
}

}  // namespace cornelweir::plugins::sidecar
