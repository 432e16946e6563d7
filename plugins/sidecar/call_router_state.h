#ifndef CORNELWEIR_PLUGINS_SIDECAR_CALL_ROUTER_STATE_H_
#define CORNELWEIR_PLUGINS_SIDECAR_CALL_ROUTER_STATE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "plugins/sidecar/call_router.h"

namespace cornelweir::plugins::sidecar {

// A caller's request until it is answered or abandoned.
struct call_router::request_state {
  explicit request_state(loop::event_loop& loop) : deadline_timer(loop) {}

  std::shared_ptr<http::pipeline_request> request;
  call decoded;
  // Identifies what is asked, whatever the id of the request.
  kernel::fingerprint fingerprint;
  // The body of the call, which the peers share.
  std::shared_ptr<const std::string> body;
  // Owns the route and the workspace.
  std::shared_ptr<const policy::policy_table> policy;
  const policy::route* route = nullptr;
  kernel::workspace_id workspace;
  // Whether the workspace has a quota, and when the token of this request expires, if it has one.
  bool limited = false;
  std::optional<kernel::time_point> token_expires_at;
  std::int32_t priority = 0;
  kernel::service_name service;
  kernel::time_point started_at;
  kernel::time_point deadline;
  kernel::time_point objective_deadline;
  // End of the time for which the request may wait for the policy or an upstream.
  kernel::time_point deferred_until;
  loop::timer deadline_timer;
  // The peer that has the request now, or null.
  std::shared_ptr<peer> current_peer;
  kernel::call_id run_id;
  // Room for the response while another daemon has the request.
  std::shared_ptr<memory::memory_hold> reservation;
  std::vector<std::shared_ptr<peer>> tried_peers;
  std::size_t refusals = 0;
  // Number of upstreams that may have received the request.
  std::int32_t sent_count = 0;
  // Whether an upstream may have run the request.
  bool may_have_run = false;
  // The fraction of retries among the requests that ran on this host's upstream when the request
  // arrived. If it is a call of that upstream, it is a retry with this probability.
  double repeated_share = 0;
  // The latest server error that caused a resend; returned if no other upstream is available.
  std::optional<http::whole_response> failed_response;
  bool finished = false;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_CALL_ROUTER_STATE_H_
