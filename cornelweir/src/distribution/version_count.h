#ifndef CORNELWEIR_SRC_DISTRIBUTION_VERSION_COUNT_H_
#define CORNELWEIR_SRC_DISTRIBUTION_VERSION_COUNT_H_

#include <tuple>

#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::distribution {

// Number of daemons that enforce a version.
struct version_count {
  kernel::table_version version;
  daemon_count daemons;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"version", &version_count::version},
                      kernel::field{"daemons", &version_count::daemons}};
  }
  friend bool operator==(const version_count&, const version_count&) = default;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_VERSION_COUNT_H_
