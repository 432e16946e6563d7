#ifndef CORNELWEIR_SRC_REPLICATION_NODE_BUILDER_H_
#define CORNELWEIR_SRC_REPLICATION_NODE_BUILDER_H_

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/replication/durable_state.h"
#include "cornelweir/src/replication/group_configuration.h"
#include "cornelweir/src/replication/log_entry.h"
#include "cornelweir/src/replication/node.h"
#include "cornelweir/src/replication/snapshot.h"

namespace cornelweir::replication {

// Builds a node from its stored state. Self and Disk are required; the defaults of the rest
// describe a host without stored data.
class node_builder {
 public:
  node_builder& Self(kernel::host_id self) {
    self_ = std::move(self);
    return *this;
  }
  // The identity of the data folder. Must be stored with the data and be new for a new folder.
  node_builder& Disk(kernel::disk_id disk) {
    disk_ = disk;
    return *this;
  }
  // Whether the operator created this data folder for a host of the initial configuration. Must be
  // stored with the data, and be false for a folder that replaces a lost one.
  node_builder& Bootstrap(bool bootstrap) {
    bootstrap_ = bootstrap;
    return *this;
  }
  node_builder& State(durable_state state) {
    state_ = std::move(state);
    return *this;
  }
  node_builder& Snapshot(std::optional<snapshot> stored) {
    snapshot_ = std::move(stored);
    return *this;
  }
  // The log after the snapshot, or from index 1 on.
  node_builder& Entries(std::vector<log_entry> entries) {
    entries_ = std::move(entries);
    return *this;
  }
  // The configuration that applies until the snapshot or the log contains one.
  node_builder& Configuration(group_configuration initial) {
    initial_ = std::move(initial);
    return *this;
  }
  // Must differ between hosts and between starts of one host; see read_index::request.
  node_builder& Seed(std::uint64_t seed) {
    seed_ = seed;
    return *this;
  }

  node Build() const;

 private:
  kernel::host_id self_;
  kernel::disk_id disk_;
  bool bootstrap_ = false;
  durable_state state_;
  std::optional<snapshot> snapshot_;
  std::vector<log_entry> entries_;
  group_configuration initial_;
  std::uint64_t seed_ = 0;
};

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_NODE_BUILDER_H_
