#ifndef CORNELWEIR_SRC_PROTOCOL_DATA_MESSAGES_H_
#define CORNELWEIR_SRC_PROTOCOL_DATA_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/policy.h"

namespace cornelweir::protocol {

using header_pairs = std::vector<std::pair<std::string, std::string>>;

// How loaded an upstream is, as the daemon beside it knows.
struct upstream_load {
  std::int64_t slots = 0;
  std::int64_t in_progress = 0;
  std::int64_t queued = 0;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"s", &upstream_load::slots},
                      kernel::field{"p", &upstream_load::in_progress},
                      kernel::field{"q", &upstream_load::queued}};
  }
  friend bool operator==(const upstream_load&, const upstream_load&) = default;
};

// A request for the upstream beside the receiving daemon. The body follows the encoded header of
// the message, and goes on in body_piece messages unless last is set.
struct run_request {
  static constexpr std::string_view kType = "run";

  kernel::call_id id;
  kernel::service_name service;
  // The service beside which the request began.
  kernel::service_name caller;
  std::string method;
  std::string target;
  header_pairs headers;
  policy::route_type route_type = policy::route_type::kNonIdempotent;
  std::int32_t priority = 0;
  kernel::route_name route;
  // What is left when the message is sent.
  kernel::microseconds time_left{};
  kernel::microseconds objective_left{};
  bool last = true;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"i", &run_request::id},
                      kernel::field{"s", &run_request::service},
                      kernel::field{"c", &run_request::caller},
                      kernel::field{"m", &run_request::method},
                      kernel::field{"t", &run_request::target},
                      kernel::field{"h", &run_request::headers},
                      kernel::field{"r", &run_request::route_type},
                      kernel::field{"p", &run_request::priority},
                      kernel::field{"n", &run_request::route},
                      kernel::field{"l", &run_request::time_left},
                      kernel::field{"o", &run_request::objective_left},
                      kernel::field{"e", &run_request::last}};
  }
};

// More of the body of a request or of a response.
struct body_piece {
  static constexpr std::string_view kType = "more";

  kernel::call_id id;
  bool last = true;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"i", &body_piece::id}, kernel::field{"e", &body_piece::last}};
  }
};

// The caller has gone or the request was given up.
struct cancel_request {
  static constexpr std::string_view kType = "cancel";

  kernel::call_id id;

  static constexpr auto Fields() { return std::tuple{kernel::field{"i", &cancel_request::id}}; }
};

// The upstream's response. The body follows as in run_request.
struct run_response {
  static constexpr std::string_view kType = "ran";

  kernel::call_id id;
  std::int32_t status = 0;
  header_pairs headers;
  upstream_load load;
  bool last = true;

  static constexpr auto Fields() {
    return std::tuple{
        kernel::field{"i", &run_response::id}, kernel::field{"s", &run_response::status},
        kernel::field{"h", &run_response::headers}, kernel::field{"w", &run_response::load},
        kernel::field{"e", &run_response::last}};
  }
};

// How a request ended that has no response.
enum class run_failure : std::uint8_t {
  // The upstream is gone, leaving, or of another service. The request did not reach it.
  kNoUpstream,
  // There is no room in time. The request did not reach the upstream.
  kNoRoom,
  // The upstream said that it did not run the request.
  kRejected,
  // The upstream broke the connection, or its response was unusable. The request may have run.
  kBroken,
  // No response in time. The request may have run.
  kTimeout,
};

struct run_failed {
  static constexpr std::string_view kType = "failed";

  kernel::call_id id;
  run_failure failure = run_failure::kBroken;
  // When there may be room again; 0 if unknown.
  kernel::microseconds retry_after{};
  upstream_load load;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"i", &run_failed::id}, kernel::field{"f", &run_failed::failure},
                      kernel::field{"a", &run_failed::retry_after},
                      kernel::field{"w", &run_failed::load}};
  }
};

// The receiver has taken the oldest piece of a response on this link that it had not yet taken.
struct piece_taken {
  static constexpr std::string_view kType = "taken";

  kernel::call_id id;

  static constexpr auto Fields() { return std::tuple{kernel::field{"i", &piece_taken::id}}; }
};

// The state of the upstream beside the sender: at the start of a link and at every change.
struct upstream_report {
  static constexpr std::string_view kType = "upstream";

  kernel::service_name service;
  kernel::upstream_id upstream;
  // Whether new requests are taken.
  bool open = false;
  // How much longer the upstream is slow after its start.
  kernel::microseconds warm_up{};
  upstream_load load;

  static constexpr auto Fields() {
    return std::tuple{
        kernel::field{"s", &upstream_report::service},
        kernel::field{"u", &upstream_report::upstream}, kernel::field{"o", &upstream_report::open},
        kernel::field{"c", &upstream_report::warm_up}, kernel::field{"w", &upstream_report::load}};
  }
  friend bool operator==(const upstream_report&, const upstream_report&) = default;
};

// Shows that a link still carries messages. The receiver sends it back.
struct link_probe {
  static constexpr std::string_view kType = "probe";

  kernel::nonce nonce;

  static constexpr auto Fields() { return std::tuple{kernel::field{"n", &link_probe::nonce}}; }
};

// Between two daemons.
using data_message = std::variant<run_request, body_piece, cancel_request, run_response, run_failed,
                                  upstream_report, link_probe, piece_taken>;

}  // namespace cornelweir::protocol

#endif  // CORNELWEIR_SRC_PROTOCOL_DATA_MESSAGES_H_
