#ifndef CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBE_H_
#define CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBE_H_

#include <optional>
#include <string_view>
#include <tuple>

#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::distribution {

// Requests everything newer than the subscriber's state. The first message on a connection; sent
// again to request a resync.
struct subscribe {
  static constexpr std::string_view kType = "subscribe";

  kernel::service_name service;
  kernel::host_id subscriber;
  // 0 if the subscriber holds no rows or no complete members.
  kernel::table_version held_version;
  kernel::membership_revision held_revision;
  // If set, requests a freshness proof as proof_query does.
  std::optional<kernel::nonce> nonce;
  // Endpoint where children of this daemon subscribe. Empty if it does not relay.
  kernel::endpoint control_endpoint;
  bool relay_capable = false;
  // Relay failures since this daemon last had a working publisher.
  failure_count failed_relays;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"service", &subscribe::service},
                      kernel::field{"subscriber", &subscribe::subscriber},
                      kernel::field{"held_version", &subscribe::held_version},
                      kernel::field{"held_revision", &subscribe::held_revision},
                      kernel::field{"nonce", &subscribe::nonce},
                      kernel::field{"control_endpoint", &subscribe::control_endpoint},
                      kernel::field{"relay_capable", &subscribe::relay_capable},
                      kernel::field{"failed_relays", &subscribe::failed_relays}};
  }
  friend bool operator==(const subscribe&, const subscribe&) = default;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBE_H_
