#ifndef CORNELWEIR_PLUGINS_SIDECAR_SIDECAR_NODE_H_
#define CORNELWEIR_PLUGINS_SIDECAR_SIDECAR_NODE_H_

#include <boost/leaf.hpp>
#include <functional>

#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "plugins/daemon_context.h"
#include "plugins/sidecar/call_router.h"
#include "plugins/sidecar/control_feed.h"
#include "plugins/sidecar/peer_server.h"
#include "plugins/sidecar/peer_set.h"
#include "plugins/sidecar/request_dialect.h"
#include "plugins/sidecar/upstream_gate.h"

namespace cornelweir::plugins::sidecar {

// A daemon beside an upstream: serves the callers on its host, and is the way of all others to its
// upstream, by a policy that is replaced as a whole.
class sidecar_node {
 public:
  sidecar_node(daemon_context& context, const dialect_functions& dialect);

  boost::leaf::result<void> Listen();
  void Start();
  void BeginShutdown(std::function<void()> done);

 private:
  void OnPolicy();
  void OnUpstreamChanged();
  bool IsReady() const { return router_.has_policy() && !shutting_down_; }
  void NoteReadiness();
  void LeaveService();
  void FinishWhenIdle();
  void Finish();
  void ReportMetrics();

  daemon_context& context_;
  dialect_functions dialect_;
  bulk_sender bulk_;
  upstream_gate gate_;
  control_feed feed_;
  peer_set peers_;
  peer_server peer_server_;
  call_router router_;
  http::pipeline_server callers_;
  http::admin_server readiness_;
  http::admin_server announcements_;
  loop::timer shutdown_timer_;
  loop::timer metrics_timer_;
  kernel::time_point shutdown_at_;
  bool shutting_down_ = false;
  bool callers_drained_ = false;
  bool was_ready_ = false;
  bool probing_ = false;
  std::function<void()> done_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_SIDECAR_NODE_H_
