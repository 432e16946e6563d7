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
#include "cornelweir/quarantine.h"
#include "cornelweir/rollout.h"
#include "cornelweir/src/protocol/currency_report.h"
#include "cornelweir/src/protocol/message_part.h"

namespace cornelweir::protocol {

// The state of a daemon. Sent to its control host at the start, at every change, and as a
// heartbeat.
struct daemon_report {
  static constexpr std::string_view kType = "daemon_report";

  membership::roster_entry self;
  // The policy that the daemon enforces.
  kernel::policy_version enforced_policy;
  // The revision of the rollout records that it enforces.
  kernel::rollout_revision enforced_rollouts;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"self", &daemon_report::self},
                      kernel::field{"held", &daemon_report::enforced_policy},
                      kernel::field{"rollouts", &daemon_report::enforced_rollouts}};
  }
};

// Policy and roster changes. Sent by a control host to a daemon at every change and as a heartbeat.
struct fleet_update {
  static constexpr std::string_view kType = "fleet_update";

  // Whether the control host recently learned that a majority confirmed its leader. If not, the
  // update may be outdated.
  bool leader_confirmed = false;
  // If not, the reason. Hosts of earlier versions send none.
  std::optional<currency_report> not_current;
  kernel::policy_version newest_policy;
  // The encoded and deflated policy_delta from the policy of the daemon, or from the empty policy.
  // Empty if the policy is unchanged.
  kernel::byte_string policy_delta;
  // A part of these bytes instead, if they are too large for one message. The parts arrive in
  // order.
  std::optional<message_part> policy_part;
  std::vector<membership::roster_entry> present;
  std::vector<kernel::endpoint> gone;
  // Endpoints at which other control hosts accept links of daemons. Empty if unchanged.
  std::vector<kernel::endpoint> control_hosts;
  // The upstream that the daemon last reported, possibly before a restart. Sent once on each link.
  std::optional<membership::announced_upstream> last_upstream;
  // If not 0, the daemon must use a greater incarnation, as its reports are ignored otherwise.
  kernel::incarnation superseded_incarnation;
  // The rollout records that changed since the revision that the daemon enforces.
  std::vector<rollout::rollout_record> rollouts;
  // All quarantined requests for the service of the daemon, if that changed since the last update
  // on this link. Sent before the first policy.
  std::optional<std::vector<quarantine::quarantined_fingerprint>> quarantined;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"current", &fleet_update::leader_confirmed},
                      kernel::field{"not_current", &fleet_update::not_current},
                      kernel::field{"newest", &fleet_update::newest_policy},
                      kernel::field{"delta", &fleet_update::policy_delta},
                      kernel::field{"delta_part", &fleet_update::policy_part},
                      kernel::field{"present", &fleet_update::present},
                      kernel::field{"gone", &fleet_update::gone},
                      kernel::field{"control_hosts", &fleet_update::control_hosts},
                      kernel::field{"upstream", &fleet_update::last_upstream},
                      kernel::field{"needed", &fleet_update::superseded_incarnation},
                      kernel::field{"rollouts", &fleet_update::rollouts},
                      kernel::field{"quarantined", &fleet_update::quarantined}};
  }
};

// A request that the daemons of a service have quarantined. Sent to a control host until its list
// contains the request.
struct quarantine_report {
  static constexpr std::string_view kType = "quarantine_report";

  kernel::fingerprint request;
  kernel::service_name service;
  std::vector<quarantine::upstream_crash> crashes;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"request", &quarantine_report::request},
                      kernel::field{"service", &quarantine_report::service},
                      kernel::field{"crashes", &quarantine_report::crashes}};
  }
};

// The reports of the daemons connected to the sender. Sent between control hosts.
struct roster_share {
  static constexpr std::string_view kType = "roster_share";

  std::vector<membership::roster_entry> entries;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"entries", &roster_share::entries}};
  }
};

// Reports of the daemons that are connected to the sender, for the leader.
struct rollout_samples {
  static constexpr std::string_view kType = "rollout_samples";

  std::vector<rollout::rollout_sample> samples;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"samples", &rollout_samples::samples}};
  }
};

// A request of a control host that receives no log entries from a leader to be added to the group.
// Sent to other control hosts.
struct join_request {
  static constexpr std::string_view kType = "join_request";

  kernel::host_id host;

  static constexpr auto Fields() { return std::tuple{kernel::field{"host", &join_request::host}}; }
};

}  // namespace cornelweir::protocol

#endif  // CORNELWEIR_SRC_PROTOCOL_FLEET_MESSAGES_H_
