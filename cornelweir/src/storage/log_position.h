#ifndef CORNELWEIR_SRC_STORAGE_LOG_POSITION_H_
#define CORNELWEIR_SRC_STORAGE_LOG_POSITION_H_

#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::storage {

// The index of an entry and its term.
struct log_position {
  kernel::log_index index;
  kernel::term term;

  friend bool operator==(const log_position&, const log_position&) = default;
};

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_LOG_POSITION_H_
