#ifndef CORNELWEIR_SRC_STORAGE_LOG_STORAGE_H_
#define CORNELWEIR_SRC_STORAGE_LOG_STORAGE_H_

#include <boost/leaf.hpp>
#include <concepts>
#include <cstdint>
#include <optional>
#include <vector>

#include "cornelweir/src/replication/durable_state.h"
#include "cornelweir/src/replication/log_entry.h"
#include "cornelweir/src/replication/snapshot.h"
#include "cornelweir/src/storage/recovered_state.h"

namespace cornelweir::storage {

// What a durable_node needs from its store; basic_log_store documents the functions.
template <class T>
concept log_storage = requires(T& store, const std::optional<replication::durable_state>& state,
                               const std::vector<replication::log_entry>& entries,
                               const replication::snapshot& saved) {
  { store.Load() } -> std::same_as<boost::leaf::result<void>>;
  { store.TakeRecoveredState() } -> std::same_as<recovered_state>;
  { store.Append(state, entries) } -> std::same_as<boost::leaf::result<void>>;
  { store.SaveSnapshot(saved) } -> std::same_as<boost::leaf::result<void>>;
  { store.Sync() } -> std::same_as<boost::leaf::result<void>>;
  { store.IsUsable() } -> std::same_as<bool>;
  { store.FreeBytes() } -> std::same_as<std::optional<std::uint64_t>>;
};

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_LOG_STORAGE_H_
