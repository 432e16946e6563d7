#ifndef PROGRAMS_CORNELWEIRCTL_API_SERVICES_REPLY_H_
#define PROGRAMS_CORNELWEIRCTL_API_SERVICES_REPLY_H_

#include <tuple>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/policy.h"

namespace cornelweir::ctl {

// Answer of GET /v1/services.
struct services_reply {
  std::vector<policy::service_state> services;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"services", &services_reply::services}};
  }
};

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_API_SERVICES_REPLY_H_
