#ifndef CORNELWEIR_SRC_REPLICATION_PEER_PROGRESS_H_
#define CORNELWEIR_SRC_REPLICATION_PEER_PROGRESS_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/replication/snapshot.h"

namespace cornelweir::replication::internal {

// What a leader knows about another host.
struct peer_progress {
  // Probing sends one message at a time until the logs are known to match.
  bool probing = true;
  // A probe or a piece of a snapshot was sent in this heartbeat interval and not yet answered.
  bool waiting = false;
  kernel::log_index match;
  kernel::log_index next;
  kernel::log_index commit_sent;
  // Bytes of entries sent since the latest acknowledgement.
  std::size_t bytes_in_flight = 0;
  // Set while a snapshot is being sent. A newer snapshot doesn't replace it, so that frequent
  // compaction can't restart the transfer again and again.
  std::shared_ptr<const snapshot> sending;
  std::uint64_t offset = 0;
  // From the latest answer of this host in the leader's term.
  bool heard = false;
  kernel::time_point last_heard;
  kernel::heartbeat_round round;
  kernel::disk_id disk;
  bool bootstrap = false;
};

}  // namespace cornelweir::replication::internal

#endif  // CORNELWEIR_SRC_REPLICATION_PEER_PROGRESS_H_
