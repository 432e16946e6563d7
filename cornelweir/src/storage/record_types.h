#ifndef CORNELWEIR_SRC_STORAGE_RECORD_TYPES_H_
#define CORNELWEIR_SRC_STORAGE_RECORD_TYPES_H_

#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/replication/durable_state.h"
#include "cornelweir/src/replication/group_configuration.h"
#include "cornelweir/src/replication/log_entry.h"
#include "cornelweir/src/storage/file_identity.h"

namespace cornelweir::storage::internal {

// The single record of the identity file.
struct identity_record {
  std::uint32_t version = 0;
  kernel::disk_id disk;
  bool bootstrap = false;
  // With the bootstrap flag: the voters with which the group began. Empty in data that was written
  // before groups began with several.
  std::vector<kernel::host_id> initial_voters;
  file_identity file;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"version", &identity_record::version},
                      kernel::field{"disk", &identity_record::disk},
                      kernel::field{"bootstrap", &identity_record::bootstrap},
                      kernel::field{"initial_voters", &identity_record::initial_voters},
                      kernel::field{"file", &identity_record::file}};
  }
};

// The first record of a segment. It repeats the durable state, so that earlier segments can be
// removed.
struct segment_header {
  std::uint32_t version = 0;
  kernel::disk_id disk;
  std::uint64_t number = 0;
  file_identity file;
  replication::durable_state state;
  // The last index and term of the log before this segment. A reset discards all earlier entries,
  // so that the log starts after this index.
  bool reset = false;
  kernel::log_index last_index;
  kernel::term last_term;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"version", &segment_header::version},
                      kernel::field{"disk", &segment_header::disk},
                      kernel::field{"number", &segment_header::number},
                      kernel::field{"file", &segment_header::file},
                      kernel::field{"state", &segment_header::state},
                      kernel::field{"reset", &segment_header::reset},
                      kernel::field{"last_index", &segment_header::last_index},
                      kernel::field{"last_term", &segment_header::last_term}};
  }
};

// Every later record of a segment.
struct log_record {
  std::optional<replication::durable_state> state;
  std::vector<replication::log_entry> entries;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"state", &log_record::state},
                      kernel::field{"entries", &log_record::entries}};
  }
};

// The first record of a snapshot file. The data follows in pieces, one record each, since the size
// of a record is limited.
struct snapshot_header {
  std::uint32_t version = 0;
  kernel::disk_id disk;
  kernel::log_index index;
  kernel::term term;
  replication::group_configuration configuration;
  std::uint64_t size = 0;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"version", &snapshot_header::version},
                      kernel::field{"disk", &snapshot_header::disk},
                      kernel::field{"index", &snapshot_header::index},
                      kernel::field{"term", &snapshot_header::term},
                      kernel::field{"configuration", &snapshot_header::configuration},
                      kernel::field{"size", &snapshot_header::size}};
  }
};

}  // namespace cornelweir::storage::internal

#endif  // CORNELWEIR_SRC_STORAGE_RECORD_TYPES_H_
