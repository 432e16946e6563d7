#ifndef CORNELWEIR_SRC_STORAGE_RECOVERED_STATE_H_
#define CORNELWEIR_SRC_STORAGE_RECOVERED_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/replication/durable_state.h"
#include "cornelweir/src/replication/log_entry.h"
#include "cornelweir/src/replication/snapshot.h"

namespace cornelweir::storage {

// What a data folder held when it was opened.
struct recovered_state {
  replication::durable_state state;
  std::optional<replication::snapshot> snapshot;
  // The log after the snapshot.
  std::vector<replication::log_entry> entries;
  kernel::disk_id disk;
  // Whether the operator created the folder by Bootstrap().
  bool bootstrap = false;
  // The identity was created by this start.
  bool created = false;
  // The folder turned out to be a copy or an incomplete one. Its data was set aside.
  bool set_aside = false;
  // Bytes cut from the end of torn_file, which had been written only in part.
  std::uint64_t torn_bytes = 0;
  std::string torn_file;
};

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_RECOVERED_STATE_H_
