#ifndef CORNELWEIR_SRC_POLICY_SERVICE_H_
#define CORNELWEIR_SRC_POLICY_SERVICE_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::policy {

// Properties of the upstreams of one service, as configured by operators.
struct service {
  kernel::service_name name;
  // The path at which an upstream reports its health and its instance id.
  std::string health_path;
  // Maximum number of connections that one upstream accepts, over all callers.
  std::int32_t max_connections = 0;
  std::string protocol;
  bool tls = false;

  static constexpr auto Fields() {
    return std::tuple{
        kernel::field{"name", &service::name}, kernel::field{"health_path", &service::health_path},
        kernel::field{"max_connections", &service::max_connections},
        kernel::field{"protocol", &service::protocol}, kernel::field{"tls", &service::tls}};
  }
  friend bool operator==(const service&, const service&) = default;
};

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_SERVICE_H_
