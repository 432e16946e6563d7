#ifndef CORNELWEIR_PLUGINS_PROXY_REQUEST_ROUTER_H_
#define CORNELWEIR_PLUGINS_PROXY_REQUEST_ROUTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cornelweir/control.h"
#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/outcome.h"
#include "cornelweir/quarantine.h"
#include "cornelweir/routing.h"
#include "plugins/daemon_context.h"
#include "plugins/proxy/control_client.h"
#include "plugins/proxy/local_upstream.h"
#include "plugins/proxy/subscription.h"

namespace cornelweir::plugins::proxy {

// Routes the requests that reach this daemon to the local upstream or to another upstream's daemon.
// Models http::request_handler and http::refusal_handler.
class request_router {
 public:
  request_router(daemon_context& context, control_client& client, subscription& table_subscription,
                 local_upstream& upstream, http::connection_pool& pool);

  void HandleRequest(const http::request_head& head,
                     const std::shared_ptr<http::exchange>& exchange);
  // Adds the outcome header to a response that the proxy server makes itself. sent tells whether
  // part of the request was sent to an upstream.
  static void AddRefusalHeaders(bool sent, http::header_list& headers);

  // Applies the subscription's current table and members.
  void Configure();
  // Replaces the list of quarantined requests.
  void ReplaceQuarantine(const std::vector<quarantine::quarantined_fingerprint>& entries);
  // Refuses new requests; those in progress continue.
  void BeginDrain() { draining_ = true; }

 private:
  // The state of a caller's request until its response.
  struct routed_request {
    std::shared_ptr<http::exchange> exchange;
    kernel::route_name route;
    kernel::service_name service;
    bool idempotent = false;
    kernel::workspace_id workspace;
    admission::priority_class priority = admission::priority_class::kNormal;
    outcome::deadline deadline;
    kernel::fingerprint fingerprint;
    kernel::fingerprint content_digest;
    kernel::idempotency_key claim_key;
    kernel::attempt_id claim_attempt;
    bool claimed = false;
    bool arrived_as_retry = false;
    int attempt_count = 0;
    std::vector<kernel::upstream_id> tried_upstreams;
    kernel::time_point started_at;
  };
  using request_ptr = std::shared_ptr<routed_request>;

  void HandleForwardedRequest(const http::request_head& head,
                              const std::shared_ptr<http::exchange>& exchange);
  void SubmitClaim(const request_ptr& request);
  void OnClaimed(const request_ptr& request, const claims::claim_result& result);
  void ReleaseClaim(const request_ptr& request);
  void CompleteClaim(const request_ptr& request, const http::forward_result& result);

  void StartAttempt(const request_ptr& request);
  void RunLocally(const request_ptr& request, const kernel::upstream_id& upstream);
  void ForwardToDaemon(const request_ptr& request, const kernel::upstream_id& upstream,
                       const kernel::endpoint& daemon);
  http::header_list ExtraHeaders(const routed_request& request) const;
  http::forward_callbacks MakeForwardCallbacks(const request_ptr& request,
                                               const kernel::upstream_id& upstream);

  void OnAttemptRefused(const request_ptr& request, const kernel::upstream_id& upstream,
                        outcome::refusal_reason reason);
  void OnAttemptDone(const request_ptr& request, const kernel::upstream_id& upstream,
                     const http::forward_result& result);
  void OnAttemptFailed(const request_ptr& request, bool sent, http::status_code status,
                       const char* reason);
  // Starts another attempt if the retry rules allow it. Returns whether it did.
  bool RetryIfAllowed(const request_ptr& request, outcome::request_outcome request_outcome,
                      std::optional<outcome::refusal_reason> refusal);
  void Refuse(const request_ptr& request, outcome::refusal_reason reason);
  void RecordOutcome(const routed_request& request, std::string_view outcome);

  kernel::time_point Now() const { return context_.clock.Now(); }

  daemon_context& context_;
  control_client& control_client_;
  subscription& subscription_;
  local_upstream& local_upstream_;
  http::connection_pool& pool_;
  routing::route_index routes_;
  routing::balancer balancer_;
  std::map<kernel::service_name, outcome::retry_budget> retry_budgets_;
  quarantine::quarantine_list quarantine_;
  std::string attempt_prefix_;
  std::uint64_t next_attempt_ = 1;
  bool draining_ = false;
};

}  // namespace cornelweir::plugins::proxy

#endif  // CORNELWEIR_PLUGINS_PROXY_REQUEST_ROUTER_H_
