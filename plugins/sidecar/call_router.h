#ifndef CORNELWEIR_PLUGINS_SIDECAR_CALL_ROUTER_H_
#define CORNELWEIR_PLUGINS_SIDECAR_CALL_ROUTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/outcome.h"
#include "cornelweir/policy.h"
#include "cornelweir/protocol.h"
#include "cornelweir/routing.h"
#include "plugins/daemon_context.h"
#include "plugins/sidecar/call.h"
#include "plugins/sidecar/peer_set.h"
#include "plugins/sidecar/request_dialect.h"

namespace cornelweir::plugins::sidecar {

// Takes the requests of callers on this host: finds the route, chooses a daemon, sends the request
// there, and decides whether it is sent again when it comes back without a response.
class call_router {
 public:
  call_router(daemon_context& context, const dialect_functions& dialect, peer_set& peers,
              const upstream_gate& gate);

  void SetPolicy(std::shared_ptr<const policy::policy_table> table);
  bool has_policy() const { return policy_ != nullptr; }

  void Handle(const std::shared_ptr<http::pipeline_request>& request);
  std::size_t in_progress() const { return in_progress_; }

 private:
  struct state;
  using state_ptr = std::shared_ptr<state>;

  kernel::time_point Now() const { return context_.clock.Now(); }
  kernel::time_point ObjectiveOf(const state& of);
  const kernel::service_name& ServiceFor(const policy::route& route);
  outcome::shared_retry_budget& BudgetOf(const kernel::service_name& service);
  void Begin(const state_ptr& created);
  bool Park(const state_ptr& of);
  void RetryParked();
  void Attempt(const state_ptr& of);
  void OnResult(const state_ptr& of, run_result result);
  void OnResponse(const state_ptr& of, http::whole_response response);
  bool MaySendAgain(const state_ptr& of);
  void SendAgain(const state_ptr& of, std::string_view reason);
  void OnNotRun(const state_ptr& of, const run_result& result);
  void OnDeadline(const state_ptr& of);
  void OnGone(const state_ptr& of);
  void Refuse(const state_ptr& of, kernel::microseconds retry_after, std::string_view reason);
  void Reply(const state_ptr& of, reply_kind kind, kernel::milliseconds retry_after,
             std::string_view reason);
  void Deliver(const state_ptr& of, http::whole_response response, std::string_view outcome);

  daemon_context& context_;
  const dialect_functions& dialect_;
  peer_set& peers_;
  const upstream_gate& gate_;
  std::shared_ptr<const policy::policy_table> policy_;
  policy::route_index routes_;
  std::map<policy::route_key, routing::weighted_round_robin> splits_;
  // The longest time that callers of a route wait. One that waits less has tried before.
  std::map<policy::route_key, kernel::milliseconds> patience_;
  std::map<kernel::service_name, outcome::shared_retry_budget> budgets_;
  std::size_t in_progress_ = 0;
  // Requests that wait for the policy or for an upstream soon after the daemon's start.
  std::vector<state_ptr> parked_;
  loop::timer parked_timer_;
  kernel::time_point started_at_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_CALL_ROUTER_H_
