#ifndef CORNELWEIR_SRC_REPLICATION_READY_H_
#define CORNELWEIR_SRC_REPLICATION_READY_H_

#include <optional>
#include <tuple>
#include <vector>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/replication/durable_state.h"
#include "cornelweir/src/replication/log_entry.h"
#include "cornelweir/src/replication/message.h"
#include "cornelweir/src/replication/snapshot.h"

namespace cornelweir::replication {

// The result of a read index request. A state machine that has applied the entry at index may serve
// the read. No index means that the read failed.
struct read_index_result {
  kernel::nonce nonce;
  std::optional<kernel::log_index> index;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"nonce", &read_index_result::nonce},
                      kernel::field{"index", &read_index_result::index}};
  }
  friend bool operator==(const read_index_result&, const read_index_result&) = default;
};

// The work that the owner of a node has to do, in this order: store snapshot, state, entries and
// compacted, and sync them; call node::Persisted(); send messages; load snapshot and apply
// committed; complete reads.
struct ready {
  std::optional<durable_state> state;
  // Replaces the log from entries.front().index on.
  std::vector<log_entry> entries;
  // A snapshot from the leader: to be stored and loaded into the state machine.
  std::optional<replication::snapshot> snapshot;
  // Must not be sent before everything above is durable.
  std::vector<envelope> messages;
  std::vector<log_entry> committed;
  std::vector<read_index_result> reads;
  // A snapshot made by node::Compact(): to be stored, but not loaded.
  std::optional<replication::snapshot> compacted = std::nullopt;

  static constexpr auto Fields() {
    return std::tuple{
        kernel::field{"state", &ready::state},         kernel::field{"entries", &ready::entries},
        kernel::field{"snapshot", &ready::snapshot},   kernel::field{"messages", &ready::messages},
        kernel::field{"committed", &ready::committed}, kernel::field{"reads", &ready::reads},
        kernel::field{"compacted", &ready::compacted}};
  }
  friend bool operator==(const ready&, const ready&) = default;
};

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_READY_H_
