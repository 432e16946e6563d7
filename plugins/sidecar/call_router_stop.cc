// The part of call_router that decides which requests a daemon that stops still takes.

#include "plugins/sidecar/call_router_state.h"

namespace cornelweir::plugins::sidecar {
namespace internal {

// Callers may try again once another process serves on this host.
constexpr kernel::microseconds kRetryAfterStop = std::chrono::seconds(1);

}  // namespace internal

// A request that must not be repeated is refused if it might still run when the process ends: its
// result would be lost, and nobody could tell whether it ran. One that may be repeated is more
// useful to its caller within the time that is left, and gets a final answer at its end.
bool call_router::FitsBeforeStop(const request_state_ptr& state) {
  if (state->deadline <= finish_at_) return true;
  if (policy::IsIdempotent(state->route->retry_safety)) {
    state->deadline = finish_at_;
    return true;
  }
  Refuse(state, internal::kRetryAfterStop, "shutting down");
  return false;
}

void call_router::EndAll() {
  const std::set<request_state_ptr> unfinished = open_;
  for (const request_state_ptr& state : unfinished) {
    if (state->finished) continue;
    const bool may_be_running = state->current_peer != nullptr || state->may_have_run;
    if (!may_be_running) {
      Refuse(state, internal::kRetryAfterStop, "shutting down");
      continue;
    }
    if (state->current_peer != nullptr) state->current_peer->Cancel(state->run_id);
    state->current_peer = nullptr;
    Reply(state, reply_kind::kTimeout, {}, "shutting down");
  }
}

}  // namespace cornelweir::plugins::sidecar
