#ifndef CORNELWEIR_PLUGINS_CONTROL_CURRENCY_TRACKER_H_
#define CORNELWEIR_PLUGINS_CONTROL_CURRENCY_TRACKER_H_

#include <optional>

#include "cornelweir/kernel.h"
#include "cornelweir/logging.h"
#include "cornelweir/loop.h"
#include "cornelweir/protocol.h"
#include "plugins/control/currency_status.h"
#include "plugins/control/replica.h"

namespace cornelweir::plugins::control {

// Whether this control host is current: it has applied all committed entries, and a majority has
// recently confirmed its leader. Logs each change, and an outage that lasts.
class currency_tracker {
 public:
  currency_tracker(const replica& local, const loop::pause_tracker& pauses);

  // Learns of confirmed rounds and logs what is due. Called once each tick.
  void Update(kernel::time_point now);

  bool IsCurrent(kernel::time_point now) const {
    return State(now) == protocol::currency_state::kCurrent;
  }

  // Whether this host may tell a daemon that its policy is the newest, or why not. It may only if a
  // read on behalf of the daemon has proved that all committed entries were applied.
  protocol::currency_report ReportFor(bool is_read_proved, kernel::time_point now) const;

  currency_status Status(kernel::time_point now) const;

 private:
  protocol::currency_state State(kernel::time_point now, bool is_read_proved = true) const;
  std::optional<kernel::microseconds> SinceConfirmation(kernel::time_point now) const;
  void UpdateConfirmation(kernel::time_point now);
  void LogStateChange(kernel::time_point now);
  void LogOutage(kernel::time_point now);

  const replica& local_;
  const loop::pause_tracker& pauses_;
  // The latest round that the node knows as confirmed; 0 after a storage fault, since the node is
  // built again.
  kernel::heartbeat_round node_round_;
  // The latest round that any node of this process knew as confirmed, and when it was learned of.
  kernel::heartbeat_round confirmed_round_;
  std::optional<kernel::time_point> confirmed_at_;
  bool was_current_ = false;
  logging::outage_schedule outage_;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_CURRENCY_TRACKER_H_
