#ifndef CORNELWEIR_PLUGINS_SIDECAR_ROLLOUT_AGENT_H_
#define CORNELWEIR_PLUGINS_SIDECAR_ROLLOUT_AGENT_H_

#include <functional>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/rollout.h"
#include "plugins/daemon_context.h"

namespace cornelweir::plugins::sidecar {

class upstream_dispatcher;

// Holds the rollout records of a daemon, closes its upstream if they exclude its version, and
// reports the evidence while a rollout of its service runs.
class rollout_agent {
 public:
  using report_function = std::function<void(const rollout::rollout_sample&)>;

  rollout_agent(daemon_context& context, upstream_dispatcher& dispatcher, report_function report);

  void Stop() { timer_.Cancel(); }
  // Applies records from a control host.
  void Apply(const std::vector<rollout::rollout_record>& records);
  // A control host has confirmed that the records are the newest.
  void OnConfirmed();
  // To be called when the upstream announced itself or changed.
  void OnUpstreamChanged();

  rollout::rollout_table& table() { return table_; }

 private:
  kernel::time_point Now() const { return context_.clock.Now(); }
  const rollout::rollout_record* OwnRecord() const;
  bool IsAdmitted() const;
  void UpdateGuard();
  void CheckAdmission();
  void Tick();
  void Report();

  daemon_context& context_;
  upstream_dispatcher& dispatcher_;
  report_function report_;
  rollout::rollout_table table_;
  rollout::upstream_guard guard_;
  loop::timer timer_;
  bool was_admitted_ = true;
  kernel::time_point reported_at_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_ROLLOUT_AGENT_H_
