#ifndef CORNELWEIR_SRC_POLICY_ROUTE_H_
#define CORNELWEIR_SRC_POLICY_ROUTE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::policy {

// Whether a request may be retried when it may have run already.
enum class retry_safety : std::uint8_t {
  // May be retried.
  kIdempotent,
  // Runs at most once for each attempt of the caller.
  kNonIdempotent,
  // May be retried; the response is large.
  kDownload,
  // Runs at most once for each attempt of the caller; the request is large.
  kUpload,
};

constexpr bool IsIdempotent(retry_safety safety) {
  return safety == retry_safety::kIdempotent || safety == retry_safety::kDownload;
}

// One service of a traffic split.
struct split_part {
  kernel::service_name service;
  kernel::weight weight;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"service", &split_part::service},
                      kernel::field{"weight", &split_part::weight}};
  }
  friend bool operator==(const split_part&, const split_part&) = default;
};

// The destination of requests for a host and path prefix, and how they are handled. A route is
// identified by its host and prefix.
struct route {
  // The name of a list element in an encoded list_delta.
  static constexpr std::string_view kElementName = "route";

  kernel::route_name name;
  std::string host;
  std::string path_prefix;
  policy::retry_safety retry_safety = policy::retry_safety::kNonIdempotent;
  // Maximum time until a caller gets a response.
  kernel::milliseconds timeout{};
  // Target response time. A later response loses value.
  kernel::milliseconds latency_objective{};
  // Lower values are more urgent; 0 is the most urgent.
  std::int32_t priority = 0;
  // Maximum number of upstreams to which one request is sent.
  std::int32_t attempts = 1;
  // Empty if there is a split.
  kernel::service_name service;
  std::vector<split_part> split;
  // Callers need no key even if the policy has workspaces.
  bool public_access = false;

  static constexpr auto Fields() {
    return std::tuple{
        kernel::field{"n", &route::name},         kernel::field{"h", &route::host},
        kernel::field{"p", &route::path_prefix},  kernel::field{"r", &route::retry_safety},
        kernel::field{"t", &route::timeout},      kernel::field{"o", &route::latency_objective},
        kernel::field{"y", &route::priority},     kernel::field{"a", &route::attempts},
        kernel::field{"s", &route::service},      kernel::field{"w", &route::split},
        kernel::field{"f", &route::public_access}};
  }
  friend bool operator==(const route&, const route&) = default;
};

// Identifies a route within its policy.
struct route_key {
  std::string host;
  std::string path_prefix;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"host", &route_key::host},
                      kernel::field{"prefix", &route_key::path_prefix}};
  }
  friend auto operator<=>(const route_key&, const route_key&) = default;
};

// The strings of a route_key without copies.
using route_key_view = std::pair<std::string_view, std::string_view>;

inline route_key KeyOf(const route& keyed) { return {keyed.host, keyed.path_prefix}; }
inline route_key_view ViewOf(const route& keyed) { return {keyed.host, keyed.path_prefix}; }
inline route_key_view ViewOf(const route_key& key) { return {key.host, key.path_prefix}; }

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_ROUTE_H_
