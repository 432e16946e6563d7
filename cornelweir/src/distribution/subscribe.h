#ifndef CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBE_H_
#define CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBE_H_

#include <optional>
#include <string_view>
#include <tuple>

#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::distribution {

// Asks a publisher for everything newer than what the subscriber holds. Sent first on a connection,
// and again to ask for a resync.
struct subscribe {
  static constexpr std::string_view kType = "subscribe";

  kernel::service_name service;
  kernel::host_id subscriber;
  // 0 if nothing is held.
  kernel::table_version held_version;
  kernel::membership_revision held_revision;
  // Asks for a freshness proof as proof_query does.
  std::optional<kernel::nonce> nonce;
  // Where children of this daemon subscribe. Empty if it does not relay.
  kernel::endpoint control_endpoint;
  bool relay_capable = false;
  // Relays that failed since this daemon last had a working publisher.
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
