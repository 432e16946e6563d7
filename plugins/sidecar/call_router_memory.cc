// The part of call_router that keeps memory for the responses.

#include <utility>

#include "plugins/sidecar/call_router_state.h"

namespace cornelweir::plugins::sidecar {

// The dispatcher of this process keeps memory itself, once the request leaves its queue.
bool call_router::ReserveResponse(const request_state_ptr& state, const peer& chosen) {
  const kernel::route_name& route = state->route->name;
  state->reservation.reset();
  std::shared_ptr<memory::memory_hold> reserved = room_.Reserve(route);
  if (!reserved) {
    Refuse(state, kernel::microseconds::zero(), "no memory for the response");
    return false;
  }
  state->request->ExpectResponse(static_cast<std::size_t>(room_.Expected(route).value()));
  if (chosen.entry().daemon != context_.settings.sidecar->peers_listen) {
    state->reservation = std::move(reserved);
  }
  return true;
}

bool call_router::AdmitResponse(const request_state_ptr& state, http::whole_response& response) {
  if (room_.Admit(state->route->name, std::move(state->reservation), response)) return true;
  Reply(state, reply_kind::kUpstreamFailed, {}, "no memory for the response");
  return false;
}

}  // namespace cornelweir::plugins::sidecar
