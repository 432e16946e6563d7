#ifndef CORNELWEIR_PLUGINS_SIDECAR_CONTROL_CLIENT_H_
#define CORNELWEIR_PLUGINS_SIDECAR_CONTROL_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/membership.h"
#include "cornelweir/policy.h"
#include "cornelweir/protocol.h"
#include "cornelweir/rollout.h"
#include "cornelweir/transport.h"
#include "plugins/daemon_context.h"
#include "plugins/sidecar/control_link_activity.h"
#include "plugins/sidecar/control_link_end.h"
#include "plugins/sidecar/control_outage.h"

namespace cornelweir::plugins::sidecar {

// Receives the policy and the roster over a link to one control host at a time. Disconnects from a
// host that is silent or has no confirmed leader, and ignores policies that are not newer than the
// current one.
class control_client {
 public:
  struct handlers {
    std::function<void()> policy_changed;
    // The policy was the newest at this time.
    std::function<void(kernel::time_point)> policy_confirmed;
    std::function<void()> roster_changed;
    // Return what this daemon reports.
    std::function<kernel::service_name()> service;
    std::function<std::optional<membership::announced_upstream>()> last_upstream;
    // Called with the upstream that this daemon last reported, possibly before a restart.
    std::function<void(const membership::announced_upstream&)> upstream_restored;
    // The link to a control host has opened, or was lost.
    std::function<void(bool connected)> link_changed = [](bool) {};
    std::function<void(const quota::quota_grant&)> quota_granted = [](const auto&) {};
    // Called with the rollout records that changed, before a policy of the same update.
    std::function<void(const std::vector<rollout::rollout_record>&)> rollouts_received;
    // Returns the revision of the rollout records in force.
    std::function<kernel::rollout_revision()> rollouts_revision;
    // Called with the control group's list of quarantined requests, before a policy of the same
    // update.
    std::function<void(const std::vector<quarantine::quarantined_fingerprint>&)>
        quarantine_received = [](const auto&) {};
    // Called when a control host has confirmed that its state is the newest.
    std::function<void()> confirmed;
  };

  control_client(daemon_context& context, handlers callbacks);

  void Start();
  void Stop();
  // Sends the current state of this daemon to the control host, if connected.
  void Report();
  // Returns false if there is no link to a control host.
  bool RequestQuota(const quota::quota_request& request);
  // Sends the evidence on a rollout to the control host, if connected.
  void Report(const rollout::rollout_sample& sample);
  // Reports a quarantine to the control host, if connected.
  void Report(const protocol::quarantine_report& report);
  // Reports that this daemon is leaving.
  void BeginShutdown();

  // Null before the first policy.
  const std::shared_ptr<const policy::policy_table>& policy() const { return policy_; }
  const std::map<kernel::endpoint, membership::roster_entry>& roster() const { return roster_; }
  // The time since a control host last confirmed that its state is the newest, or since the start.
  kernel::microseconds SinceConfirmed() const { return outage_.SinceConfirmed(Now()); }
  kernel::endpoint self() const { return context_.settings.sidecar->peers_listen; }

 private:
  kernel::time_point Now() const { return context_.clock.Now(); }
  void Tick();
  void Connect();
  void Disconnect(const std::string& reason);
  void LogLinkLost(const std::string& reason) const;
  // Appends the seeds to candidate_hosts_.
  void AddSeeds();
  kernel::endpoint TakeNextHost();
  kernel::microseconds ConnectTimeout() const;
  void OnMessage(std::string_view payload);
  void OnUpdate(const protocol::fleet_update& update);
  // Applies an encoded and deflated delta. Closes the link and returns false if it is malformed.
  bool ReadPolicy(std::string_view deflated);
  void ApplyPolicy(const policy::policy_delta& delta);
  void ApplyRoster(const protocol::fleet_update& update);

  daemon_context& context_;
  handlers handlers_;
  loop::timer timer_;
  std::vector<kernel::endpoint> candidate_hosts_;
  std::size_t next_host_index_ = 0;
  kernel::endpoint host_;
  std::shared_ptr<transport::link> link_;
  std::shared_ptr<bool> alive_;
  bool connected_ = false;
  // Consecutive failed attempts to connect.
  std::size_t failed_attempts_ = 0;
  // When the host last confirmed its leader or made progress in sending.
  kernel::time_point last_progress_at_;
  kernel::time_point last_update_at_;
  std::uint64_t last_bytes_received_ = 0;
  // What the link has received, and why it ends if it ends now.
  control_link_activity activity_;
  control_link_end link_end_ = control_link_end::kUnreachable;
  control_outage outage_;
  kernel::time_point reported_at_;
  kernel::time_point retry_at_;
  std::shared_ptr<const policy::policy_table> policy_;
  // The parts of a delta that this link has received so far.
  protocol::part_assembler policy_parts_;
  std::map<kernel::endpoint, membership::roster_entry> roster_;
  kernel::incarnation incarnation_;
  std::uint64_t sequence_ = 0;
  bool shutting_down_ = false;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_CONTROL_CLIENT_H_
