#ifndef CORNELWEIR_PLUGINS_SIDECAR_SIDECAR_NODE_H_
#define CORNELWEIR_PLUGINS_SIDECAR_SIDECAR_NODE_H_

#include <boost/leaf.hpp>
#include <functional>
#include <string>

#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/shutdown.h"
#include "plugins/daemon_context.h"
#include "plugins/sidecar/call_router.h"
#include "plugins/sidecar/control_client.h"
#include "plugins/sidecar/host_traffic.h"
#include "plugins/sidecar/peer_server.h"
#include "plugins/sidecar/peer_set.h"
#include "plugins/sidecar/quarantine_agent.h"
#include "plugins/sidecar/quota_client.h"
#include "plugins/sidecar/request_dialect.h"
#include "plugins/sidecar/rollout_agent.h"
#include "plugins/sidecar/upstream_dispatcher.h"

namespace cornelweir::plugins::sidecar {

// A sidecar daemon: routes the requests of callers on its host by the current policy, and runs the
// requests of all daemons for the upstream on its host.
class sidecar_node {
 public:
  sidecar_node(daemon_context& context, const dialect_functions& dialect);

  // Opens all listeners. Fails if an address cannot be bound.
  boost::leaf::result<void> Listen();
  void Start();
  // Stops gracefully by the phases of shutdown::stop_sequence, then posts done.
  void BeginShutdown(std::function<void()> done);

 private:
  void OnPolicyChanged();
  // Empty if the policy is unknown or does not contain the service.
  std::string HealthPathOf(const kernel::service_name& service) const;
  void OnUpstreamChanged();
  // Tells a daemon which requests to refuse before it gets any.
  void OnPeerOpened(peer& daemon);
  bool IsReady() const { return router_.has_policy() && !stop_.stopping(); }
  void LogReadinessChange();
  shutdown::stop_work Work() const;
  // Does what belongs to the phases of the stop that are due.
  void AdvanceStop();
  void StopAccepting();
  void Finish();
  void ReportMetrics();
  void ReportSlowReaders();

  daemon_context& context_;
  dialect_functions dialect_;
  bulk_sender bulk_;
  upstream_dispatcher dispatcher_;
  quarantine_agent quarantine_;
  rollout_agent rollouts_;
  control_client control_client_;
  quota_client quota_;
  peer_set peers_;
  peer_server peer_server_;
  call_router router_;
  http::pipeline_server callers_;
  http::admin_server readiness_;
  http::admin_server announcements_;
  loop::timer shutdown_timer_;
  loop::timer metrics_timer_;
  shutdown::stop_sequence stop_;
  host_traffic traffic_;
  // Those that were reported.
  http::slow_reader_counts slow_readers_;
  bool was_ready_ = false;
  std::function<void()> done_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_SIDECAR_NODE_H_
