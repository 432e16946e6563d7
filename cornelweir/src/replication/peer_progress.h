#ifndef CORNELWEIR_SRC_REPLICATION_PEER_PROGRESS_H_
#define CORNELWEIR_SRC_REPLICATION_PEER_PROGRESS_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/replication/snapshot.h"

namespace cornelweir::replication::internal {

// The replication state of another host as its leader tracks it.
struct peer_progress {
  // While probing, one message is sent at a time until the logs are known to match.
  bool probing = true;
  // A probe or a piece of a snapshot was sent in this heartbeat interval and has no reply yet.
  bool awaiting_reply = false;
  kernel::log_index match_index;
  kernel::log_index next_index;
  kernel::log_index sent_commit_index;
  // Bytes of entries sent since the latest acknowledgement.
  std::size_t bytes_in_flight = 0;
  // Set while a snapshot is being sent. A newer snapshot doesn't replace it, so that frequent
  // compaction can't keep restarting the transfer.
  std::shared_ptr<const snapshot> outgoing_snapshot;
  std::uint64_t snapshot_offset = 0;
  // From the latest reply of this host in the leader's term; last_contact starts as the time at
  // which the leader began to track the host.
  bool has_replied = false;
  kernel::time_point last_contact;
  kernel::heartbeat_round acknowledged_round;
  kernel::disk_id disk;
  bool bootstrap = false;
};

}  // namespace cornelweir::replication::internal

#endif  // CORNELWEIR_SRC_REPLICATION_PEER_PROGRESS_H_
