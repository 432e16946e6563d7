#ifndef CORNELWEIR_SRC_QUARANTINE_UPSTREAM_CRASH_H_
#define CORNELWEIR_SRC_QUARANTINE_UPSTREAM_CRASH_H_

#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::quarantine {

// One crash of an upstream process.
struct upstream_crash {
  kernel::upstream_id upstream;
  kernel::incarnation process;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"upstream", &upstream_crash::upstream},
                      kernel::field{"process", &upstream_crash::process}};
  }
  friend bool operator==(const upstream_crash&, const upstream_crash&) = default;
};

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_UPSTREAM_CRASH_H_
