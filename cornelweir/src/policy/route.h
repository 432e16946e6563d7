#ifndef CORNELWEIR_SRC_POLICY_ROUTE_H_
#define CORNELWEIR_SRC_POLICY_ROUTE_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::policy {

// Whether a request may be sent again after it may have run.
enum class route_type : std::uint8_t {
  // Idempotent.
  kIdempotent,
  // At most once for each attempt of the caller.
  kNonIdempotent,
  // Idempotent, with a large response.
  kDownload,
};

constexpr bool IsIdempotent(route_type kind) { return kind != route_type::kNonIdempotent; }

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

// Where requests for a host and path prefix go, and how they are treated. A route is identified by
// its host and prefix.
struct route {
  kernel::route_name name;
  std::string host;
  std::string path_prefix;
  policy::route_type route_type = policy::route_type::kNonIdempotent;
  // The longest time that a caller is kept waiting.
  kernel::milliseconds timeout{};
  // A response within this time is worth its full credit.
  kernel::milliseconds latency_objective{};
  // 0 is the most urgent.
  std::int32_t priority = 0;
  // The most upstreams to which one request may be sent.
  std::int32_t attempts = 1;
  // Either a service or a split is given.
  kernel::service_name service;
  std::vector<split_part> split;

  static constexpr auto Fields() {
    return std::tuple{
        kernel::field{"n", &route::name},        kernel::field{"h", &route::host},
        kernel::field{"p", &route::path_prefix}, kernel::field{"r", &route::route_type},
        kernel::field{"t", &route::timeout},     kernel::field{"o", &route::latency_objective},
        kernel::field{"y", &route::priority},    kernel::field{"a", &route::attempts},
        kernel::field{"s", &route::service},     kernel::field{"w", &route::split}};
  }
  friend bool operator==(const route&, const route&) = default;
};

// The identity of a route within its policy.
struct route_key {
  std::string host;
  std::string path_prefix;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"host", &route_key::host},
                      kernel::field{"prefix", &route_key::path_prefix}};
  }
  friend auto operator<=>(const route_key&, const route_key&) = default;
};

inline route_key KeyOf(const route& of) { return {of.host, of.path_prefix}; }

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_ROUTE_H_
