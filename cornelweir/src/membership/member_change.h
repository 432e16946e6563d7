#ifndef CORNELWEIR_SRC_MEMBERSHIP_MEMBER_CHANGE_H_
#define CORNELWEIR_SRC_MEMBERSHIP_MEMBER_CHANGE_H_

#include <optional>
#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/membership/upstream_record.h"

namespace cornelweir::membership {

// A changed upstream with its current record; no record means that it left the service.
struct member_change {
  kernel::upstream_id id;
  kernel::service_name service;
  std::optional<upstream_record> record;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"id", &member_change::id},
                      kernel::field{"service", &member_change::service},
                      kernel::field{"record", &member_change::record}};
  }
  friend bool operator==(const member_change&, const member_change&) = default;
};

}  // namespace cornelweir::membership

#endif  // CORNELWEIR_SRC_MEMBERSHIP_MEMBER_CHANGE_H_
