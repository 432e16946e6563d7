#ifndef CORNELWEIR_SRC_PROTOCOL_MESSAGES_H_
#define CORNELWEIR_SRC_PROTOCOL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "cornelweir/control.h"
#include "cornelweir/distribution.h"
#include "cornelweir/kernel.h"
#include "cornelweir/quarantine.h"
#include "cornelweir/quota.h"
#include "cornelweir/replication.h"
#include "cornelweir/src/protocol/fleet_messages.h"
#include "cornelweir/src/protocol/quota_messages.h"

namespace cornelweir::protocol {

enum class process_role : std::uint8_t { kControl, kProxy, kSidecar };

// The first message in each direction of a link.
struct hello {
  static constexpr std::string_view kType = "hello";

  std::uint32_t protocol = 0;
  process_role role = process_role::kProxy;
  kernel::host_id host;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"protocol", &hello::protocol},
                      kernel::field{"role", &hello::role}, kernel::field{"host", &hello::host}};
  }
};

// A message of the replicated log between two control hosts.
struct replicate {
  static constexpr std::string_view kType = "replicate";

  replication::envelope envelope;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"envelope", &replicate::envelope}};
  }
};

// A command for the replicated state machine, from a daemon to a control host or from a control
// host to the leader. The sender chooses the id, which submit_reply repeats.
struct submit {
  static constexpr std::string_view kType = "submit";

  std::uint64_t id = 0;
  control::command command;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"id", &submit::id}, kernel::field{"command", &submit::command}};
  }
};

// A part of an encoded and deflated command that is too large for a submit message. Sent in order
// from a control host to the leader, which replies to the last part.
struct submit_part {
  static constexpr std::string_view kType = "submit_part";

  std::uint64_t id = 0;
  message_part part;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"id", &submit_part::id},
                      kernel::field{"part", &submit_part::part}};
  }
};

// The outcome of a command. Without an outcome the command may still take effect later.
struct submit_reply {
  static constexpr std::string_view kType = "submit_reply";

  std::uint64_t id = 0;
  std::optional<control::outcome> outcome;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"id", &submit_reply::id},
                      kernel::field{"outcome", &submit_reply::outcome}};
  }
};

// Identifies an upstream whose lease is renewed.
struct lease_renewal {
  kernel::upstream_id id;
  kernel::incarnation incarnation;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"id", &lease_renewal::id},
                      kernel::field{"incarnation", &lease_renewal::incarnation}};
  }
};

// Lease renewals, forwarded to the leader in batches.
struct renew {
  static constexpr std::string_view kType = "renew";

  std::vector<lease_renewal> renewals;

  static constexpr auto Fields() { return std::tuple{kernel::field{"renewals", &renew::renewals}}; }
};

// The configuration that a daemon enforces, for operators.
struct proxy_status {
  static constexpr std::string_view kType = "proxy_status";

  kernel::host_id host;
  kernel::service_name service;
  kernel::table_version version;
  kernel::membership_revision revision;
  bool ready = false;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"host", &proxy_status::host},
                      kernel::field{"service", &proxy_status::service},
                      kernel::field{"version", &proxy_status::version},
                      kernel::field{"revision", &proxy_status::revision},
                      kernel::field{"ready", &proxy_status::ready}};
  }
};

// The complete list of request fingerprints that daemons must refuse. Replaces the list sent
// before.
struct quarantine_update {
  static constexpr std::string_view kType = "quarantined";

  std::vector<quarantine::quarantined_fingerprint> requests;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"requests", &quarantine_update::requests}};
  }
};

// A message between control hosts.
using control_message =
    std::variant<hello, replicate, submit, submit_part, submit_reply, renew, roster_share,
                 join_request, quota_batch, quota_grant_batch, rollout_samples>;
// A message from a daemon to its publisher.
using daemon_message = std::variant<hello, distribution::subscribe, distribution::applied,
                                    distribution::proof_query, submit, renew, proxy_status>;
// A message from a publisher to a daemon.
using publisher_message =
    std::variant<hello, distribution::configuration, distribution::version_notice,
                 distribution::members, distribution::heartbeat, distribution::proof,
                 distribution::redirect, submit_reply, quarantine_update>;

// Messages from a sidecar to its control host and from the control host to the sidecar.
using report_message = std::variant<hello, daemon_report, quota::quota_request,
                                    rollout::rollout_sample, quarantine_report>;
using fleet_message = std::variant<hello, fleet_update, quota::quota_grant>;

}  // namespace cornelweir::protocol

#endif  // CORNELWEIR_SRC_PROTOCOL_MESSAGES_H_
