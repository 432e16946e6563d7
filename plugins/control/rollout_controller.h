#ifndef CORNELWEIR_PLUGINS_CONTROL_ROLLOUT_CONTROLLER_H_
#define CORNELWEIR_PLUGINS_CONTROL_ROLLOUT_CONTROLLER_H_

#include <map>
#include <string>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/protocol.h"
#include "cornelweir/rollout.h"

namespace cornelweir::plugins::control {

class control_plugin;

// Feeds the trackers of running rollouts and, on the leader, proposes their steps. On other hosts,
// forwards the reports of daemons to the leader.
class rollout_controller {
 public:
  rollout_controller(control_plugin& owner, loop::event_loop& loop);

  void Start();
  void Stop();

  // Handles a report of a daemon that is connected to this host.
  void Receive(const rollout::rollout_sample& sample);
  // Handles reports that another host forwarded.
  void Receive(const protocol::rollout_samples& samples);

  // To be called when rollout records changed.
  void OnRecordsChanged();
  void OnLeadershipChanged(bool is_leader);

 private:
  struct active_rollout {
    rollout::rollout_tracker tracker;
    bool proposing = false;
  };

  kernel::time_point Now() const { return clock_.Now(); }
  void Flush();
  void Evaluate();
  void Evaluate(active_rollout& active);
  void Collect(const rollout::rollout_sample& sample);
  std::vector<kernel::endpoint> DaemonsOf(const kernel::service_name& service) const;
  void Propose(active_rollout& active, const rollout::rollout_step& step);

  control_plugin& owner_;
  kernel::steady_clock_source clock_;
  loop::timer flush_timer_;
  loop::timer evaluation_timer_;
  std::map<kernel::service_name, active_rollout> active_;
  protocol::rollout_samples pending_;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_ROLLOUT_CONTROLLER_H_
