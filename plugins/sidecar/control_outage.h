#ifndef CORNELWEIR_PLUGINS_SIDECAR_CONTROL_OUTAGE_H_
#define CORNELWEIR_PLUGINS_SIDECAR_CONTROL_OUTAGE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cornelweir/kernel.h"
#include "cornelweir/logging.h"
#include "cornelweir/protocol.h"
#include "plugins/sidecar/control_link_end.h"

namespace cornelweir::plugins::sidecar {

// Logs that no control host at all has been current for a while, and what was tried meanwhile.
class control_outage {
 public:
  control_outage();

  // The daemon starts without a control host.
  void Start(kernel::time_point now) { schedule_.Begin(now); }
  // A control host has confirmed that its state is the newest.
  void OnConfirmed(kernel::time_point now);
  // A link ended. The host may have said why it is not current.
  void OnLinkEnded(control_link_end end, const std::optional<protocol::currency_report>& reported);
  // Logs the outage if that is due.
  void Tick(kernel::time_point now);

  // The time since the last confirmation, or since the start.
  kernel::microseconds SinceConfirmed(kernel::time_point now) const {
    return schedule_.Duration(now).value_or(kernel::microseconds::zero());
  }

 private:
  void Log(bool is_current, kernel::microseconds duration) const;
  std::size_t Ends(control_link_end end) const;
  // The reasons that hosts gave and how often, as "no-leader=12,not-confirmed=3".
  std::string DescribeReasons() const;

  logging::outage_schedule schedule_;
  // Since the last confirmation.
  std::map<control_link_end, std::size_t> ends_;
  std::map<std::string_view, std::size_t> reasons_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_CONTROL_OUTAGE_H_
