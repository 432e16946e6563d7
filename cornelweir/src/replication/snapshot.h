#ifndef CORNELWEIR_SRC_REPLICATION_SNAPSHOT_H_
#define CORNELWEIR_SRC_REPLICATION_SNAPSHOT_H_

#include <tuple>

#include "cornelweir/src/kernel/byte_string.h"
#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/replication/group_configuration.h"

namespace cornelweir::replication {

// The state of the state machine and the configuration after the entry at index was applied.
struct snapshot {
  kernel::log_index index;
  kernel::term term;
  group_configuration configuration;
  kernel::byte_string data;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"index", &snapshot::index},
                      kernel::field{"term", &snapshot::term},
                      kernel::field{"configuration", &snapshot::configuration},
                      kernel::field{"data", &snapshot::data}};
  }
  friend bool operator==(const snapshot&, const snapshot&) = default;
};

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_SNAPSHOT_H_
