#ifndef CORNELWEIR_PLUGINS_SIDECAR_CALL_ROUTER_H_
#define CORNELWEIR_PLUGINS_SIDECAR_CALL_ROUTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/outcome.h"
#include "cornelweir/policy.h"
#include "cornelweir/protocol.h"
#include "cornelweir/quarantine.h"
#include "cornelweir/routing.h"
#include "plugins/daemon_context.h"
#include "plugins/sidecar/call.h"
#include "plugins/sidecar/peer_set.h"
#include "plugins/sidecar/quarantine_agent.h"
#include "plugins/sidecar/quota_client.h"
#include "plugins/sidecar/request_dialect.h"
#include "plugins/sidecar/request_metrics.h"
#include "plugins/sidecar/response_room.h"

namespace cornelweir::plugins::sidecar {

// Handles the requests of callers on this host: matches the route, chooses a daemon, sends the
// request to it, and decides whether to resend a request that failed.
class call_router {
 public:
  call_router(daemon_context& context, const dialect_functions& dialect, peer_set& peers,
              upstream_dispatcher& dispatcher, quota_client& quota);

  // Sets the object that decides which requests are refused because they crash upstreams.
  void UseQuarantine(quarantine_agent& quarantine) { quarantine_ = &quarantine; }
  // Replaces the policy. Requests in progress keep the one they were routed by.
  void SetPolicy(std::shared_ptr<const policy::policy_table> table);
  bool has_policy() const { return resolver_.has_value(); }
  // Records that the policy was the newest at a time, for strict revocation of keys.
  void OnPolicyConfirmed(kernel::time_point confirmed_at) { policy_confirmed_at_ = confirmed_at; }

  // Responds to the request once, at the latest at its deadline, unless its caller disconnects.
  void Handle(const std::shared_ptr<http::pipeline_request>& request);
  std::size_t in_progress() const { return open_.size(); }
  // When a caller last sent a request.
  kernel::time_point last_request_at() const { return last_request_at_; }

  // The daemon stops and gives up what is in progress at finish_at. Requests that must not be
  // repeated are refused from now on if their time limits end later.
  void BeginStop(kernel::time_point finish_at) { finish_at_ = finish_at; }
  // Gives every request in progress its final response.
  void EndAll();

 private:
  struct request_state;
  using request_state_ptr = std::shared_ptr<request_state>;

  kernel::time_point Now() const { return context_.clock.Now(); }
  kernel::time_point ComputeObjective(const request_state& state);
  const kernel::service_name& SelectService(const policy::route& route);
  outcome::shared_retry_budget& RetryBudget(const kernel::service_name& service);
  bool ResolveRequest(const request_state_ptr& state);
  bool KeysAreCurrent() const;
  void RouteRequest(const request_state_ptr& state);
  // Returns false after it has refused a request that might not end before the daemon does.
  bool FitsBeforeStop(const request_state_ptr& state);
  // Records that the request has its response or needs none.
  void MarkFinished(const request_state_ptr& state);
  bool IsQuarantined(const request_state& state) const;
  // Refuses the request and returns true if it is quarantined.
  bool RefuseIfQuarantined(const request_state_ptr& state);
  void AcquireToken(const request_state_ptr& state);
  void OnQuotaDecision(const request_state_ptr& state, const quota_client::admission& decided);
  void ReturnToken(const request_state_ptr& state);
  bool Defer(const request_state_ptr& state);
  void QueueDeferred(const request_state_ptr& state);
  void RetryDeferred();
  // Takes memory for the response of a request that is sent to a daemon. Returns false after it has
  // refused a request for lack of it.
  bool ReserveResponse(const request_state_ptr& state, const peer& chosen);
  // Returns false after it has failed a request whose response does not fit into the memory.
  bool AdmitResponse(const request_state_ptr& state, http::whole_response& response);
  void SendToPeer(const request_state_ptr& state);
  void OnResult(const request_state_ptr& state, run_result result);
  void RecordNesting(const request_state& state, const run_result& result);
  void CountIndirectRetry(const request_state& state, const run_result& result);
  void OnResponse(const request_state_ptr& state, http::whole_response response);
  bool CanResend(const request_state_ptr& state);
  void Resend(const request_state_ptr& state, std::string_view reason);
  void OnNotRun(const request_state_ptr& state, const run_result& result);
  void OnDeadline(const request_state_ptr& state);
  void OnCallerGone(const request_state_ptr& state);
  void Refuse(const request_state_ptr& state, kernel::microseconds retry_after,
              std::string_view reason);
  void Reply(const request_state_ptr& state, reply_kind kind, kernel::milliseconds retry_after,
             std::string_view reason);
  void Respond(const request_state_ptr& state, http::whole_response response,
               std::string_view outcome);

  daemon_context& context_;
  const dialect_functions& dialect_;
  peer_set& peers_;
  upstream_dispatcher& dispatcher_;
  quota_client& quota_;
  quarantine_agent* quarantine_ = nullptr;
  const std::uint64_t key_hash_seed_;
  std::optional<policy::request_resolver> resolver_;
  kernel::time_point policy_confirmed_at_;
  std::map<policy::route_key, routing::weighted_round_robin> split_selectors_;
  // The longest caller timeout seen per route. A caller with a shorter one is assumed to belong
  // to a retry.
  std::map<policy::route_key, kernel::milliseconds> longest_timeouts_;
  std::map<kernel::service_name, outcome::shared_retry_budget> retry_budgets_;
  // Routes whose requests are calls of running upstreams, as the daemons that run them report.
  std::set<kernel::route_name> nested_routes_;
  request_metrics metrics_;
  response_room room_;
  // The requests that are not finished.
  std::set<request_state_ptr> open_;
  kernel::time_point last_request_at_;
  kernel::time_point finish_at_ = kernel::time_point::max();
  // Requests that wait for the policy or an upstream shortly after the daemon's start, or for the
  // input that arrived during a pause.
  std::vector<request_state_ptr> deferred_;
  loop::timer deferred_timer_;
  kernel::time_point started_at_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_CALL_ROUTER_H_
