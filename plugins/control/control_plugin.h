#ifndef CORNELWEIR_PLUGINS_CONTROL_CONTROL_PLUGIN_H_
#define CORNELWEIR_PLUGINS_CONTROL_CONTROL_PLUGIN_H_

#include <boost/leaf.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "cornelweir/codec.h"
#include "cornelweir/control.h"
#include "cornelweir/membership.h"
#include "cornelweir/protocol.h"
#include "cornelweir/transport.h"
#include "plugins/control/control_mesh.h"
#include "plugins/control/daemon_gateway.h"
#include "plugins/control/fleet_feed.h"
#include "plugins/control/operator_api.h"
#include "plugins/control/policy_service.h"
#include "plugins/control/replica.h"
#include "plugins/daemon_context.h"

namespace cornelweir::plugins::control {

// Makes a daemon a control host: one replica of the accepted table, its links to the others, the
// daemons that it serves, and the operators' interface.
class control_plugin {
 public:
  static constexpr std::string_view kName = "control";

  using outcome_callback = std::function<void(std::optional<cornelweir::control::outcome>)>;

  static boost::leaf::result<std::shared_ptr<control_plugin>> Create(daemon_context& context);

  control_plugin(daemon_context& context, replication::node node,
                 std::shared_ptr<storage::log_store> store);

  void Start();
  void BeginShutdown(std::function<void()> done);

  // Runs a command wherever the leader is.
  void Submit(cornelweir::control::command command, outcome_callback callback);
  // Renews leases on the leader.
  void Renew(const protocol::renew& renewals);

  // Tells the other control hosts of daemons that are connected here.
  void ShareRoster(const protocol::roster_share& shared) { mesh_.Broadcast(shared); }

  replica& local() { return replica_; }
  codec::json StatusReport() const;

 private:
  boost::leaf::result<void> Listen();
  void OnMessage(const std::shared_ptr<transport::link>& link, std::string_view payload);
  void OnGreeting(const std::shared_ptr<transport::link>& link, std::string_view payload);
  void OnPeerMessage(const kernel::host_id& from, const protocol::control_message& message);
  void OnClosed(const transport::link* link);
  void OnApplied(const cornelweir::control::applied_effects& effects);
  void OnLeadership(bool is_leader);
  void FlushRenewals();
  void ExpireLeases();
  void ReportMetrics();
  void KeepGroup();
  void OnJoin(const protocol::join_request& request);
  std::size_t WantedVoters() const;
  bool IsFounding() const;

  daemon_context& context_;
  replica replica_;
  control_mesh mesh_;
  daemon_gateway gateway_;
  fleet_feed feed_;
  policy_service policy_;
  operator_api api_;
  membership::lease_tracker leases_;
  std::shared_ptr<transport::listener> listener_;
  // Links of other control hosts, after their greeting.
  std::map<const transport::link*, kernel::host_id> peers_;
  std::map<const transport::link*, bool> daemons_;
  protocol::renew waiting_renewals_;
  loop::timer renewal_timer_;
  loop::timer lease_timer_;
  loop::timer metrics_timer_;
  loop::timer group_timer_;
  // Hosts that asked to join, and until when the request counts.
  std::map<kernel::host_id, kernel::time_point> applicants_;
  kernel::time_point started_at_;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_CONTROL_PLUGIN_H_
