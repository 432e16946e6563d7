#ifndef CORNELWEIR_SRC_PROTOCOL_FLEET_MESSAGES_H_
#define CORNELWEIR_SRC_PROTOCOL_FLEET_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/membership.h"
#include "cornelweir/policy.h"

namespace cornelweir::protocol {

// From a daemon to its control host: at the start, at every change, and as a heartbeat.
struct daemon_report {
  static constexpr std::string_view kType = "daemon_report";

  membership::roster_entry self;
  // The policy that the daemon enforces.
  kernel::policy_version held;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"self", &daemon_report::self},
                      kernel::field{"held", &daemon_report::held}};
  }
};

// From a control host to a daemon: at every change, and as a heartbeat.
struct fleet_update {
  static constexpr std::string_view kType = "fleet_update";

  // Whether the host heard lately that a majority confirmed its leader. What a host sends without
  // that may be outdated.
  bool current = false;
  kernel::policy_version newest;
  // The encoded and deflated policy_delta from the policy that the daemon holds, or from the empty
  // one. Empty if there is none.
  kernel::byte_string delta;
  std::vector<membership::roster_entry> present;
  std::vector<kernel::endpoint> gone;
  // Where other control hosts take links of daemons. Empty if unchanged.
  std::vector<kernel::endpoint> control_hosts;
  // If not 0, the incarnation that the daemon must exceed for its reports to count.
  kernel::incarnation needed;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"current", &fleet_update::current},
                      kernel::field{"newest", &fleet_update::newest},
                      kernel::field{"delta", &fleet_update::delta},
                      kernel::field{"present", &fleet_update::present},
                      kernel::field{"gone", &fleet_update::gone},
                      kernel::field{"control_hosts", &fleet_update::control_hosts},
                      kernel::field{"needed", &fleet_update::needed}};
  }
};

// Between control hosts: the reports of the daemons that are connected to the sender.
struct roster_share {
  static constexpr std::string_view kType = "roster_share";

  std::vector<membership::roster_entry> entries;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"entries", &roster_share::entries}};
  }
};

// Between control hosts: a host that no leader writes to asks to be taken into the group.
struct join_request {
  static constexpr std::string_view kType = "join_request";

  kernel::host_id host;

  static constexpr auto Fields() { return std::tuple{kernel::field{"host", &join_request::host}}; }
};

}  // namespace cornelweir::protocol

#endif  // CORNELWEIR_SRC_PROTOCOL_FLEET_MESSAGES_H_
