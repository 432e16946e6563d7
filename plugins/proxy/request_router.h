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

// Routes the requests that reach this daemon: to the upstream beside it, or to the daemon beside
// another one. A request_handler of the proxy server.
class request_router {
 public:
  request_router(daemon_context& context, control_client& control, subscription& configuration,
                 local_upstream& local, http::connection_pool& pool);

  void HandleRequest(const http::request_head& head,
                     const std::shared_ptr<http::exchange>& exchange);
  static void AddRefusalHeaders(bool sent, http::header_list& headers);

  // Takes over the held table and members after a change of either.
  void Configure();
  void OnQuarantined(const std::vector<quarantine::quarantined_fingerprint>& list);
  // Refuses requests from now on; those in progress go on.
  void BeginDrain() { draining_ = true; }

 private:
  // A caller's request from its arrival to its answer.
  struct call {
    std::shared_ptr<http::exchange> exchange;
    kernel::route_name route;
    kernel::service_name service;
    bool idempotent = false;
    kernel::tenant_id tenant;
    admission::priority_class priority = admission::priority_class::kNormal;
    outcome::deadline deadline;
    kernel::fingerprint fingerprint;
    kernel::fingerprint content;
    kernel::idempotency_key key;
    kernel::attempt_id attempt;
    bool claimed = false;
    bool arrived_as_retry = false;
    int attempts = 0;
    std::vector<kernel::upstream_id> tried;
    kernel::time_point started;
  };
  using call_ptr = std::shared_ptr<call>;

  void HandleHop(const http::request_head& head, const std::shared_ptr<http::exchange>& exchange);
  void Claim(const call_ptr& request);
  void OnClaimed(const call_ptr& request, const claims::claim_result& result);
  void ReleaseClaim(const call_ptr& request);
  void CompleteClaim(const call_ptr& request, const http::forward_result& result);

  void Attempt(const call_ptr& request);
  void RunHere(const call_ptr& request, const kernel::upstream_id& upstream);
  void PassOn(const call_ptr& request, const kernel::upstream_id& upstream,
              const kernel::endpoint& daemon);
  http::header_list ExtraHeaders(const call& request) const;
  http::forward_callbacks Callbacks(const call_ptr& request, const kernel::upstream_id& upstream);

  void OnNotRun(const call_ptr& request, const kernel::upstream_id& upstream,
                outcome::refusal_reason reason);
  void OnDone(const call_ptr& request, const kernel::upstream_id& upstream,
              const http::forward_result& result);
  void OnLost(const call_ptr& request, bool sent, int status, const char* reason);
  // Tries again if that is allowed. Returns whether it does.
  bool Retry(const call_ptr& request, outcome::request_outcome known,
             std::optional<outcome::refusal_reason> refusal);
  void Refuse(const call_ptr& request, outcome::refusal_reason reason);
  void Count(const call& request, std::string_view outcome);

  kernel::time_point Now() const { return context_.clock.Now(); }

  daemon_context& context_;
  control_client& control_;
  subscription& configuration_;
  local_upstream& local_;
  http::connection_pool& pool_;
  routing::route_index routes_;
  routing::balancer balancer_;
  std::map<kernel::service_name, outcome::retry_budget> budgets_;
  quarantine::quarantine_list quarantine_;
  std::string attempt_prefix_;
  std::uint64_t next_attempt_ = 1;
  bool draining_ = false;
};

}  // namespace cornelweir::plugins::proxy

#endif  // CORNELWEIR_PLUGINS_PROXY_REQUEST_ROUTER_H_
