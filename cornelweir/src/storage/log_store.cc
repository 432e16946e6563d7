#include "cornelweir/src/storage/log_store.h"

#include "cornelweir/src/storage/log_store_load.h"
#include "cornelweir/src/storage/log_store_write.h"

namespace cornelweir::storage {

template class basic_log_store<posix_calls>;

}  // namespace cornelweir::storage
