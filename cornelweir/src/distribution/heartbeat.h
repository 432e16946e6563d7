#ifndef CORNELWEIR_SRC_DISTRIBUTION_HEARTBEAT_H_
#define CORNELWEIR_SRC_DISTRIBUTION_HEARTBEAT_H_

#include <string_view>
#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::distribution {

// A round that a majority of control hosts confirmed, with the newest version and revision that the
// publisher has for the subscriber's scope.
struct heartbeat {
  static constexpr std::string_view kType = "heartbeat";

  // Increases monotonically, also across leader changes.
  kernel::heartbeat_round round;
  kernel::table_version newest_version;
  kernel::membership_revision newest_revision;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"round", &heartbeat::round},
                      kernel::field{"newest_version", &heartbeat::newest_version},
                      kernel::field{"newest_revision", &heartbeat::newest_revision}};
  }
  friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_HEARTBEAT_H_
