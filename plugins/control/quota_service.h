#ifndef CORNELWEIR_PLUGINS_CONTROL_QUOTA_SERVICE_H_
#define CORNELWEIR_PLUGINS_CONTROL_QUOTA_SERVICE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/policy.h"
#include "cornelweir/protocol.h"
#include "cornelweir/quota.h"
#include "cornelweir/transport.h"
#include "plugins/daemon_context.h"

namespace cornelweir::plugins::control {

class control_plugin;

// Answers the requests of daemons for tokens. Every control host merges those of its daemons, with
// one entry for each workspace, and the leader answers the merged requests.
class quota_service {
 public:
  quota_service(control_plugin& owner, daemon_context& context);

  void Stop();

  // A request of a daemon that is connected to this host.
  void Receive(const std::shared_ptr<transport::link>& daemon, const quota::quota_request& request);
  // Requests of another control host, and the leader's answers to those of this host. Each merged
  // request travels as one forwarded request.
  void Receive(const kernel::host_id& sender, const protocol::quota_batch& batch);
  void Receive(const protocol::quota_grant_batch& batch);

 private:
  struct queued_request {
    // The control host that sent the request; empty if this host did.
    std::optional<kernel::host_id> sender;
    protocol::forwarded_quota_request forwarded;
    kernel::time_point received_at;
  };
  struct waiting_daemon {
    std::weak_ptr<transport::link> link;
    kernel::time_point received_at;
  };

  kernel::time_point Now() const { return context_.clock.Now(); }
  void Flush();
  void DropExpired();
  bool MayIssue(kernel::time_point now);
  void AnswerQueue(kernel::time_point now);
  void ForwardMerged(const kernel::host_id& leader);
  void OnOwnGrant(const quota::quota_grant& grant);
  quota::quota_grant Answer(const kernel::host_id& holder, const quota::quota_request& request,
                            kernel::time_point now);
  quota::token_grant Answer(const quota::token_request& request, kernel::time_point now);
  void UpdateLimits();
  void SendToDaemon(const quota::quota_merger::answer& answered);

  control_plugin& owner_;
  daemon_context& context_;
  quota::quota_owner tokens_;
  // The term for which tokens_ was restarted.
  kernel::term owned_term_;
  kernel::time_point last_sweep_at_;
  // The limits of the workspaces that have one, in the policy below.
  std::shared_ptr<const policy::policy_table> policy_;
  std::unordered_map<kernel::workspace_id, quota::workspace_limit> limits_;
  // The requests of the daemons that are connected to this host, and the leader that has them.
  quota::quota_merger merger_;
  std::optional<kernel::host_id> asked_leader_;
  // The requests that this host is to answer as the leader.
  std::vector<queued_request> queue_;
  loop::timer flush_timer_;
  // The daemons that wait for an answer, by the id of their request. Ids ascend with the time.
  std::map<quota::pending_request_id, waiting_daemon> waiting_;
  quota::pending_request_id next_id_;
  metrics::counter& requests_;
  metrics::counter& tokens_requested_;
  metrics::counter& tokens_issued_;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_QUOTA_SERVICE_H_
