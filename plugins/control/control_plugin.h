#ifndef CORNELWEIR_PLUGINS_CONTROL_CONTROL_PLUGIN_H_
#define CORNELWEIR_PLUGINS_CONTROL_CONTROL_PLUGIN_H_

#include <boost/leaf.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cornelweir/codec.h"
#include "cornelweir/control.h"
#include "cornelweir/membership.h"
#include "cornelweir/protocol.h"
#include "cornelweir/transport.h"
#include "plugins/control/control_mesh.h"
#include "plugins/control/currency_monitor.h"
#include "plugins/control/daemon_gateway.h"
#include "plugins/control/fleet_feed.h"
#include "plugins/control/operator_api.h"
#include "plugins/control/policy_service.h"
#include "plugins/control/quota_service.h"
#include "plugins/control/replica.h"
#include "plugins/control/rollout_controller.h"
#include "plugins/control/rollout_service.h"
#include "plugins/control/storage_monitor.h"
#include "plugins/daemon_context.h"

namespace cornelweir::plugins::control {

// The plug-in that makes a daemon a control host. It holds one replica of the accepted table, the
// links to the other control hosts, the sessions of the daemons that it serves, and the operators'
// interface.
class control_plugin {
 public:
  static constexpr std::string_view kName = "control";

  using outcome_callback = std::function<void(std::optional<cornelweir::control::outcome>)>;

  // Opens the data folder, restores the replica and starts to listen. Fails with plugin_error if
  // the settings do not allow a control host or the data folder needs an operator, otherwise with
  // the error of the listener. A disk that is full or gives errors delays only this host's part in
  // the group.
  static boost::leaf::result<std::shared_ptr<control_plugin>> Create(daemon_context& context);

  explicit control_plugin(daemon_context& context);

  void Start();
  void BeginShutdown(std::function<void()> done);

  // Runs a command on the leader, here or on another host. Calls back with no outcome if the leader
  // is unknown or does not reply in time: the command may still take effect.
  void Submit(cornelweir::control::command command, outcome_callback callback);
  // Renews leases, or queues the renewals for the leader if that is another host.
  void Renew(const protocol::renew& renewals);

  // Sends the entries of daemons that are connected here to the other control hosts.
  void ShareRoster(const protocol::roster_share& share) { mesh_.Broadcast(share); }

  // Returns false if the message can't be sent.
  bool SendToHost(const kernel::host_id& host, const protocol::control_message& message) {
    return mesh_.Send(host, message);
  }

  // Whether this host can store changes. If not, changes and reads are refused at once, and nothing
  // of them is stored.
  bool CanStore() const { return replica_.IsStorageHealthy(); }

  quota_service& quota() { return quota_; }
  // Sends a message to the leader, if it is another host and reachable.
  void SendToLeader(const protocol::control_message& message);
  rollout_controller& rollouts() { return rollout_controller_; }

  replica& local_replica() { return replica_; }
  const replica& local_replica() const { return replica_; }
  const membership::roster& roster() const { return feed_.roster(); }
  metrics::metrics_registry& metrics() const { return context_.metrics; }
  const std::shared_ptr<memory::memory_account>& memory() const { return context_.memory; }
  // The bound address at which daemons and other control hosts connect.
  kernel::endpoint mesh_endpoint() const { return listener_->local_endpoint(); }
  codec::json StatusReport() const;

 private:
  [[noreturn]] static void EndProcess(const std::string& reason);
  boost::leaf::result<void> OpenStorage();
  boost::leaf::result<void> Listen();
  void OnMessage(const std::shared_ptr<transport::link>& link, std::string_view payload);
  void OnGreeting(const std::shared_ptr<transport::link>& link, std::string_view payload);
  void OnPeerMessage(const kernel::host_id& sender, const protocol::control_message& message);
  void OnForwarded(const kernel::host_id& sender, const protocol::submit_part& forwarded);
  void OnLinkClosed(const transport::link* link);
  void OnApplied(const cornelweir::control::applied_effects& effects);
  void OnLeadershipChanged(bool is_leader);
  void FlushRenewals();
  void ExpireLeases();
  void ReportMetrics();
  void MaintainGroup();
  void OnJoin(const protocol::join_request& request);
  void RequestToJoin();
  std::size_t RequiredVoters() const;
  bool IsFounding() const;
  bool HoldsChanges();
  replication::group_target Target() const;

  daemon_context& context_;
  replica replica_;
  control_mesh mesh_;
  daemon_gateway gateway_;
  fleet_feed feed_;
  quota_service quota_;
  policy_service policy_;
  rollout_service rollouts_;
  rollout_controller rollout_controller_;
  operator_api api_;
  membership::lease_tracker leases_;
  std::shared_ptr<transport::listener> listener_;
  // Inbound links whose greeting named another control host.
  std::map<const transport::link*, kernel::host_id> peers_;
  std::map<const transport::link*, bool> daemons_;
  // The parts of a command that each of these hosts is forwarding.
  std::map<kernel::host_id, protocol::part_assembler> forwarded_parts_;
  protocol::renew pending_renewals_;
  loop::timer renewal_timer_;
  loop::timer lease_timer_;
  loop::timer metrics_timer_;
  loop::timer group_timer_;
  loop::timer shutdown_timer_;
  storage_monitor storage_monitor_;
  currency_monitor currency_monitor_;
  bool shutting_down_ = false;
  // Hosts that requested to join, and when each request expires.
  std::map<kernel::host_id, kernel::time_point> join_requests_;
  kernel::time_point started_at_;
  // Whether an operator's change was held because the group is being founded.
  bool held_change_ = false;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_CONTROL_PLUGIN_H_
