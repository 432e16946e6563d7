#ifndef CORNELWEIR_SRC_REPLICATION_DURABLE_STATE_H_
#define CORNELWEIR_SRC_REPLICATION_DURABLE_STATE_H_

#include <optional>
#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::replication {

// The state besides the log that a host must keep across restarts.
struct durable_state {
  kernel::term term;
  std::optional<kernel::host_id> voted_for;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"term", &durable_state::term},
                      kernel::field{"voted_for", &durable_state::voted_for}};
  }
  friend bool operator==(const durable_state&, const durable_state&) = default;
};

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_DURABLE_STATE_H_
