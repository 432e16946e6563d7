#include "plugins/control/currency_monitor.h"

#include <chrono>
#include <string>

namespace cornelweir::plugins::control {
namespace internal {

double Seconds(kernel::microseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace internal

void currency_monitor::Report(const currency_status& status) {
  const auto set = [this](const char* name, const char* help, double value,
                          const metrics::label_list& labels = {}) {
    metrics_.Gauge(name, help, labels).Set(value);
  };
  for (const protocol::currency_state state : protocol::kCurrencyStates) {
    // A state of a link to a daemon, never of the host.
    if (state == protocol::currency_state::kReadNotProved) continue;
    set("cornelweir_control_currency",
        "1 for the state of this host: current, or why it is not current",
        state == status.state ? 1 : 0,
        {{"state", std::string(protocol::CurrencyStateName(state))}});
  }
  for (const replication::role role : replication::kRoles) {
    set("cornelweir_control_role", "1 for the role of this host in its group",
        role == status.role ? 1 : 0, {{"role", std::string(replication::RoleName(role))}});
  }
  set("cornelweir_control_term", "Term of the replicated log",
      static_cast<double>(status.term.value()));
  set("cornelweir_control_voters", "Voters that this host counts",
      static_cast<double>(status.voters.size()));
  set("cornelweir_control_voters_heard", "Voters heard from within the last second, with this host",
      static_cast<double>(status.VotersHeard()));
  if (status.confirmed_age) {
    set("cornelweir_control_confirmed_age_seconds",
        "Time since this host learned of a round that a majority confirmed",
        internal::Seconds(*status.confirmed_age));
  }
  if (status.sync_duration) {
    set("cornelweir_storage_sync_seconds", "Time to write and sync the last batch of the log",
        internal::Seconds(*status.sync_duration));
  }
}

}  // namespace cornelweir::plugins::control
