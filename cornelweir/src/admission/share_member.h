#ifndef CORNELWEIR_SRC_ADMISSION_SHARE_MEMBER_H_
#define CORNELWEIR_SRC_ADMISSION_SHARE_MEMBER_H_

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// An announced upstream of a service. The service's limit is divided among all of them.
struct share_member {
  kernel::upstream_id id;
  kernel::request_count slots;

  friend bool operator==(const share_member&, const share_member&) = default;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_SHARE_MEMBER_H_
