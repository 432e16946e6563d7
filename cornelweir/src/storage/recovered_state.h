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

// The content of a data folder when it was opened.
struct recovered_state {
  replication::durable_state state;
  std::optional<replication::snapshot> snapshot;
  // The log after the snapshot.
  std::vector<replication::log_entry> entries;
  kernel::disk_id disk;
  // Whether the identity was created with the bootstrap flag; see store_options::bootstrap.
  bool bootstrap = false;
  // The voters that store_options::initial_voters named when the identity was created.
  std::vector<kernel::host_id> initial_voters;
  // Whether opening the folder created its identity.
  bool identity_created = false;
  // Whether the folder was a copy or incomplete, so that its data was renamed to *.replaced.
  bool set_aside = false;
  // Bytes truncated from the end of torn_file, whose last record was written only in part.
  std::uint64_t torn_bytes = 0;
  std::string torn_file;
};

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_RECOVERED_STATE_H_
