#include "plugins/sidecar/control_link_activity.h"

namespace cornelweir::plugins::sidecar {

void control_link_activity::OnUpdate(const protocol::fleet_update& update, kernel::time_point now) {
  update_at_ = now;
  if (update.leader_confirmed) confirmed_at_ = now;
  reported_ = update.not_current;
}

control_link_end control_link_activity::Fault(kernel::time_point now,
                                              kernel::microseconds timeout) const {
  const bool sends_updates = update_at_ && now - *update_at_ <= timeout;
  return sends_updates ? control_link_end::kNotCurrent : control_link_end::kSilent;
}

}  // namespace cornelweir::plugins::sidecar
