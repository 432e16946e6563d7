#include "cornelweir/src/membership/upstream_record.h"

#include <string>

#include "cornelweir/src/membership/limits.h"

namespace cornelweir::membership {

bool IsValid(const upstream_record& record) {
  const auto is_valid_name = [](const std::string& name) {
    return !name.empty() && name.size() <= kMaxNameBytes;
  };
  return is_valid_name(record.id.value()) && is_valid_name(record.service.value()) &&
         is_valid_name(record.subset.value()) && is_valid_name(record.host.value()) &&
         is_valid_name(record.daemon_data.value()) &&
         record.domain.value().size() <= kMaxNameBytes &&
         record.daemon_control.value().size() <= kMaxNameBytes && record.slots.value() >= 0 &&
         record.connections.value() >= 0 && record.state <= upstream_state::kGone;
}

}  // namespace cornelweir::membership
