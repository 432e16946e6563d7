#ifndef CORNELWEIR_SRC_ADMISSION_TRANSFER_ID_H_
#define CORNELWEIR_SRC_ADMISSION_TRANSFER_ID_H_

#include <cstdint>

#include "cornelweir/src/kernel/strong_id.h"

namespace cornelweir::admission {

// Identifies the transfer of a large body at one of its daemons.
using transfer_id = kernel::strong_id<struct transfer_tag, std::uint64_t>;

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_TRANSFER_ID_H_
