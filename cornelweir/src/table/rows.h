#ifndef CORNELWEIR_SRC_TABLE_ROWS_H_
#define CORNELWEIR_SRC_TABLE_ROWS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::table {

// A service: which limits and waits hold for its requests and which services it calls itself.
struct service_row {
  static constexpr std::string_view kType = "service";

  kernel::limit_name limit;
  kernel::wait_name wait;
  std::vector<kernel::service_name> calls;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"limit", &service_row::limit},
                      kernel::field{"wait", &service_row::wait},
                      kernel::field{"calls", &service_row::calls}};
  }
  friend bool operator==(const service_row&, const service_row&) = default;
};

// The share of a service's traffic that one subset of its upstreams gets. Key: service/subset.
struct split_row {
  static constexpr std::string_view kType = "split";

  kernel::weight weight;

  static constexpr auto Fields() { return std::tuple{kernel::field{"weight", &split_row::weight}}; }
  friend bool operator==(const split_row&, const split_row&) = default;
};

// How many requests may be in progress, and how many may wait.
struct limit_row {
  static constexpr std::string_view kType = "limit";

  kernel::request_count upstream_in_flight{1};
  kernel::request_count service_in_flight{1};
  kernel::request_count workspace_in_flight{1};
  kernel::request_count queue_length{0};

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"upstream_in_flight", &limit_row::upstream_in_flight},
                      kernel::field{"service_in_flight", &limit_row::service_in_flight},
                      kernel::field{"tenant_in_flight", &limit_row::workspace_in_flight},
                      kernel::field{"queue_length", &limit_row::queue_length}};
  }
  friend bool operator==(const limit_row&, const limit_row&) = default;
};

// How long a request may take in all, and how long of that it may be queued.
struct wait_row {
  static constexpr std::string_view kType = "wait";

  std::int64_t request_ms = 0;
  std::int64_t queue_ms = 0;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"request_ms", &wait_row::request_ms},
                      kernel::field{"queue_ms", &wait_row::queue_ms}};
  }
  friend bool operator==(const wait_row&, const wait_row&) = default;
};

// Which service gets the requests whose path starts with a prefix.
struct route_row {
  static constexpr std::string_view kType = "route";

  std::string path_prefix;
  kernel::service_name service;
  bool idempotent = false;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"path_prefix", &route_row::path_prefix},
                      kernel::field{"service", &route_row::service},
                      kernel::field{"idempotent", &route_row::idempotent}};
  }
  friend bool operator==(const route_row&, const route_row&) = default;
};

using row_content = std::variant<service_row, split_row, limit_row, wait_row, route_row>;

}  // namespace cornelweir::table

#endif  // CORNELWEIR_SRC_TABLE_ROWS_H_
