#ifndef CORNELWEIR_SRC_ADMISSION_TICKET_H_
#define CORNELWEIR_SRC_ADMISSION_TICKET_H_

#include <cstdint>

#include "cornelweir/src/kernel/strong_id.h"

namespace cornelweir::admission {

// Identifies a request at the daemon on an upstream's host, from its arrival to its end.
using ticket = kernel::strong_id<struct ticket_tag, std::uint64_t>;

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_TICKET_H_
