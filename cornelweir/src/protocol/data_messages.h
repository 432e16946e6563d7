#ifndef CORNELWEIR_SRC_PROTOCOL_DATA_MESSAGES_H_
#define CORNELWEIR_SRC_PROTOCOL_DATA_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/policy.h"
#include "cornelweir/quarantine.h"

namespace cornelweir::protocol {

using header_pairs = std::vector<std::pair<std::string, std::string>>;

// The load of an upstream, as known to the daemon on its host.
struct upstream_load {
  std::int64_t slots = 0;
  std::int64_t in_progress = 0;
  std::int64_t queued = 0;
  // Bytes of announced request bodies that have not arrived, and the rate at which such bodies
  // arrive in bytes a second; 0 if unknown.
  std::int64_t missing_body_bytes = 0;
  std::int64_t body_bytes_per_second = 0;
  // Usual run time over all routes; 0 if unknown.
  kernel::microseconds run_time{};
  // The present run time in percent of the usual one.
  std::int64_t slowdown_percent = 100;
  // Time that a new request would wait for a slot.
  kernel::microseconds wait{};

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"s", &upstream_load::slots},
                      kernel::field{"p", &upstream_load::in_progress},
                      kernel::field{"q", &upstream_load::queued},
                      kernel::field{"b", &upstream_load::missing_body_bytes},
                      kernel::field{"v", &upstream_load::body_bytes_per_second},
                      kernel::field{"r", &upstream_load::run_time},
                      kernel::field{"f", &upstream_load::slowdown_percent},
                      kernel::field{"a", &upstream_load::wait}};
  }
  friend bool operator==(const upstream_load&, const upstream_load&) = default;
};

// The rank of the requests that run at an upstream, which its own calls inherit.
struct parent_rank {
  std::int32_t priority = 0;
  // Time until their latency objective and until the latest of their deadlines.
  kernel::microseconds objective_left{};
  kernel::microseconds time_left{};

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"p", &parent_rank::priority},
                      kernel::field{"o", &parent_rank::objective_left},
                      kernel::field{"l", &parent_rank::time_left}};
  }
  friend bool operator==(const parent_rank&, const parent_rank&) = default;
};

// A request for the upstream on the host of the receiving daemon. A small body follows the encoded
// message. Of a large one only the size is stated: body_piece messages carry it, as far as the
// receiver has granted credit by body_credit messages. It runs only when the body is complete.
struct run_request {
  static constexpr std::string_view kType = "run";

  kernel::call_id id;
  kernel::service_name service;
  // The service that sent the request.
  kernel::service_name caller;
  // The workspace of the caller. Empty if the request has no key of a workspace and needs none.
  kernel::workspace_id workspace;
  std::string method;
  std::string target;
  header_pairs headers;
  policy::retry_safety retry_safety = policy::retry_safety::kNonIdempotent;
  std::int32_t priority = 0;
  kernel::route_name route;
  // Time until the deadline and until the latency objective of the request, when the message is
  // sent.
  kernel::microseconds time_left{};
  kernel::microseconds objective_left{};
  // Another upstream may have received the request before.
  bool repeated = false;
  // Size of the body that follows in pieces; 0 if the message contains the whole body.
  std::uint64_t body_bytes = 0;
  // Set if the request may be a call of the upstream on the sender's host.
  std::optional<parent_rank> parent;
  // The sender can try another daemon if this one can't meet the objective.
  bool has_alternative = false;
  // Identifies what is asked, see quarantine::FingerprintOf(); 0 if unknown.
  kernel::fingerprint fingerprint;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"i", &run_request::id},
                      kernel::field{"s", &run_request::service},
                      kernel::field{"c", &run_request::caller},
                      kernel::field{"w", &run_request::workspace},
                      kernel::field{"m", &run_request::method},
                      kernel::field{"t", &run_request::target},
                      kernel::field{"h", &run_request::headers},
                      kernel::field{"r", &run_request::retry_safety},
                      kernel::field{"p", &run_request::priority},
                      kernel::field{"n", &run_request::route},
                      kernel::field{"l", &run_request::time_left},
                      kernel::field{"o", &run_request::objective_left},
                      kernel::field{"x", &run_request::repeated},
                      kernel::field{"b", &run_request::body_bytes},
                      kernel::field{"u", &run_request::parent},
                      kernel::field{"a", &run_request::has_alternative},
                      kernel::field{"f", &run_request::fingerprint}};
  }
};

// A further part of the body of a request or response.
struct body_piece {
  static constexpr std::string_view kType = "more";

  kernel::call_id id;
  bool last = true;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"i", &body_piece::id}, kernel::field{"e", &body_piece::last}};
  }
};

// Allows the receiver of this message to send further bytes of the body of a request.
struct body_credit {
  static constexpr std::string_view kType = "credit";

  kernel::call_id id;
  std::uint64_t bytes = 0;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"i", &body_credit::id},
                      kernel::field{"b", &body_credit::bytes}};
  }
};

// Cancels a request, because the caller disconnected or the request was abandoned.
struct cancel_request {
  static constexpr std::string_view kType = "cancel";

  kernel::call_id id;

  static constexpr auto Fields() { return std::tuple{kernel::field{"i", &cancel_request::id}}; }
};

// The response of the upstream. The first part of the body follows the encoded message; unless
// `last` is set, body_piece messages carry the rest.
struct run_response {
  static constexpr std::string_view kType = "ran";

  kernel::call_id id;
  std::int32_t status = 0;
  header_pairs headers;
  upstream_load load;
  // The request is a call of a running upstream, as far as the daemon can tell.
  bool nested = false;
  bool last = true;
  // Usual run time of the requests of its route at the upstream; 0 if unknown.
  kernel::microseconds route_run_time{};
  // Size of the whole body if `last` is not set; 0 from older daemons.
  std::uint64_t body_bytes = 0;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"i", &run_response::id},
                      kernel::field{"s", &run_response::status},
                      kernel::field{"h", &run_response::headers},
                      kernel::field{"w", &run_response::load},
                      kernel::field{"n", &run_response::nested},
                      kernel::field{"e", &run_response::last},
                      kernel::field{"t", &run_response::route_run_time},
                      kernel::field{"b", &run_response::body_bytes}};
  }
};

// Why a request has no response.
enum class run_failure : std::uint8_t {
  // The upstream is gone, draining, or belongs to another service. The request did not reach it.
  kNoUpstream,
  // No capacity became free in time. The request did not reach the upstream.
  kNoCapacity,
  // The upstream reported that it did not run the request.
  kRejected,
  // The upstream closed the connection, or its response was invalid. The request may have run.
  kUpstreamError,
  // No response in time. The request may have run.
  kTimeout,
};

// Reports that a request has no response.
struct run_failed {
  static constexpr std::string_view kType = "failed";

  kernel::call_id id;
  run_failure failure = run_failure::kUpstreamError;
  // Estimated time until there is capacity; 0 if unknown.
  kernel::microseconds retry_after{};
  upstream_load load;
  // See run_response.
  bool nested = false;
  // Time for which the request is refused everywhere because it crashes upstreams; 0 if it is not.
  kernel::microseconds quarantined_for{};
  // The upstream responded, but the response was dropped: the network can't carry it in time, or
  // there is no memory for it.
  bool response_dropped = false;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"i", &run_failed::id},
                      kernel::field{"f", &run_failed::failure},
                      kernel::field{"a", &run_failed::retry_after},
                      kernel::field{"w", &run_failed::load},
                      kernel::field{"n", &run_failed::nested},
                      kernel::field{"q", &run_failed::quarantined_for},
                      kernel::field{"d", &run_failed::response_dropped}};
  }
};

// Acknowledges the oldest unacknowledged piece of a body on this link, for flow control.
struct body_piece_ack {
  static constexpr std::string_view kType = "taken";

  kernel::call_id id;

  static constexpr auto Fields() { return std::tuple{kernel::field{"i", &body_piece_ack::id}}; }
};

// The state of the upstream on the host of the sender. Sent when a link opens and at every change.
struct upstream_report {
  static constexpr std::string_view kType = "upstream";

  kernel::service_name service;
  kernel::upstream_id upstream;
  // Whether the upstream accepts new requests.
  bool accepting = false;
  // The version of its software; empty if unknown.
  kernel::software_version version;
  // Remaining warm-up time of the upstream after its start.
  kernel::microseconds warm_up_left{};
  upstream_load load;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"s", &upstream_report::service},
                      kernel::field{"u", &upstream_report::upstream},
                      kernel::field{"o", &upstream_report::accepting},
                      kernel::field{"v", &upstream_report::version},
                      kernel::field{"c", &upstream_report::warm_up_left},
                      kernel::field{"w", &upstream_report::load}};
  }
  friend bool operator==(const upstream_report&, const upstream_report&) = default;
};

// Checks that a link still carries messages. The receiver echoes it.
struct link_probe {
  static constexpr std::string_view kType = "probe";

  kernel::nonce nonce;

  static constexpr auto Fields() { return std::tuple{kernel::field{"n", &link_probe::nonce}}; }
};

// A crash of an upstream, for the other daemons of its service.
struct crash_notice {
  static constexpr std::string_view kType = "crash";

  kernel::service_name service;
  quarantine::crash_report report;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"s", &crash_notice::service},
                      kernel::field{"r", &crash_notice::report}};
  }
};

// Requests that were in progress at a crash and have been completed since.
struct suspects_cleared {
  static constexpr std::string_view kType = "cleared";

  std::vector<kernel::fingerprint> requests;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"r", &suspects_cleared::requests}};
  }
};

// Requests that are refused because they crash upstreams. Sent when a link opens, with those of
// the receiver's service, and when one is decided.
struct quarantine_notice {
  static constexpr std::string_view kType = "quarantined";

  std::vector<quarantine::quarantine_entry> entries;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"e", &quarantine_notice::entries}};
  }
};

// The last message of a daemon that closes the link. Requests that have no result by now and are
// not listed were not taken: they did not reach an upstream and will not.
struct link_closing {
  static constexpr std::string_view kType = "closing";

  // Requests that were taken and whose results were given up.
  std::vector<kernel::call_id> taken;

  static constexpr auto Fields() { return std::tuple{kernel::field{"t", &link_closing::taken}}; }
};

// A message between two daemons.
using data_message = std::variant<run_request, body_piece, cancel_request, run_response, run_failed,
                                  upstream_report, link_probe, body_piece_ack, body_credit,
                                  crash_notice, suspects_cleared, quarantine_notice, link_closing>;

}  // namespace cornelweir::protocol

#endif  // CORNELWEIR_SRC_PROTOCOL_DATA_MESSAGES_H_
