#ifndef CORNELWEIR_PLUGINS_SIDECAR_CONTROL_LINK_ACTIVITY_H_
#define CORNELWEIR_PLUGINS_SIDECAR_CONTROL_LINK_ACTIVITY_H_

#include <optional>

#include "cornelweir/kernel.h"
#include "cornelweir/protocol.h"
#include "plugins/sidecar/control_link_end.h"

namespace cornelweir::plugins::sidecar {

// When a daemon last received something on its link to a control host, and what the host said about
// itself.
class control_link_activity {
 public:
  void OnBytes(kernel::time_point now) { bytes_at_ = now; }
  void OnUpdate(const protocol::fleet_update& update, kernel::time_point now);

  // What is wrong with a host that has not confirmed its state within the timeout.
  control_link_end Fault(kernel::time_point now, kernel::microseconds timeout) const;

  // When the last bytes, the last update and the last update of a current host came. Empty before
  // the first.
  const std::optional<kernel::time_point>& bytes_at() const { return bytes_at_; }
  const std::optional<kernel::time_point>& update_at() const { return update_at_; }
  const std::optional<kernel::time_point>& confirmed_at() const { return confirmed_at_; }
  // Why the host is not current. Empty if its last update did not say.
  const std::optional<protocol::currency_report>& reported() const { return reported_; }

 private:
  std::optional<kernel::time_point> bytes_at_;
  std::optional<kernel::time_point> update_at_;
  std::optional<kernel::time_point> confirmed_at_;
  std::optional<protocol::currency_report> reported_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_CONTROL_LINK_ACTIVITY_H_
