#include "cornelweir/src/membership/upstream_record.h"

#include <string>

#include "cornelweir/src/membership/limits.h"

namespace cornelweir::membership {

bool IsValid(const upstream_record& record) {
  const auto named = [](const std::string& name) {
    return !name.empty() && name.size() <= kMaxNameBytes;
  };
  return named(record.id.value()) && named(record.service.value()) &&
         named(record.subset.value()) && named(record.host.value()) &&
         named(record.daemon_data.value()) && record.domain.value().size() <= kMaxNameBytes &&
         record.daemon_control.value().size() <= kMaxNameBytes && record.slots.value() >= 0 &&
         record.connections.value() >= 0 && record.state <= upstream_state::kGone;
}

}  // namespace cornelweir::membership
