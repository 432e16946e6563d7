#ifndef CORNELWEIR_STORAGE_H_
#define CORNELWEIR_STORAGE_H_

// Stores the replicated log, its latest snapshot and the identity of a data folder in files.

#include "cornelweir/src/storage/durable_node.h"
#include "cornelweir/src/storage/file_calls.h"
#include "cornelweir/src/storage/limits.h"
#include "cornelweir/src/storage/log_store.h"
#include "cornelweir/src/storage/recovered_state.h"
#include "cornelweir/src/storage/storage_error.h"
#include "cornelweir/src/storage/storage_health.h"
#include "cornelweir/src/storage/store_options.h"

#endif  // CORNELWEIR_STORAGE_H_
