// The part of call_router that refuses requests that crash upstreams.

#include "plugins/sidecar/call_router_state.h"

namespace cornelweir::plugins::sidecar {

bool call_router::IsQuarantined(const request_state& state) const {
  return quarantine_ != nullptr &&
         quarantine_->RefusedFor(state.fingerprint) > kernel::microseconds::zero();
}

// Tells the caller the true end of the quarantine: it would be refused at any time before.
bool call_router::RefuseIfQuarantined(const request_state_ptr& state) {
  if (!IsQuarantined(*state)) return false;
  context_.metrics
      .Counter("cornelweir_quarantine_refusals_total",
               "Requests of callers refused because they crash upstreams",
               {{"service", state->service.value()}})
      .Increment();
  const auto left = kernel::ToMilliseconds(quarantine_->RefusedFor(state->fingerprint));
  Reply(state, state->may_have_run ? reply_kind::kUpstreamFailed : reply_kind::kNotRun, left,
        "quarantined");
  return true;
}

}  // namespace cornelweir::plugins::sidecar
