// The reads of a node: each is confirmed by a round of messages.

#include <utility>

#include "cornelweir/src/replication/limits.h"
#include "cornelweir/src/replication/node.h"

namespace cornelweir::replication {

void node::RequestReadIndex(kernel::nonce nonce, kernel::time_point now) {
  AdvanceClock(now);
  const kernel::nonce request(random_.NextU64());
  const bool too_many_reads = local_reads_.size() >= kMaxPendingReads;
  if (!leader_ || too_many_reads) {
    completed_reads_.push_back(read_index_result{nonce, std::nullopt});
    return;
  }
  local_reads_[request] = local_read{nonce, now_ + kReadTimeout};
  if (role_ == role::kLeader) {
    Handle(self_, read_index{request});
  } else {
    Send(*leader_, read_index{request});
  }
}

void node::Handle(const kernel::host_id& sender, const read_index& request) {
  const pending_read read{sender, request.request, {}, {}};
  if (role_ != role::kLeader || pending_reads_.size() >= kMaxPendingReads) {
    ReplyToRead(read, std::nullopt);
    return;
  }
  pending_reads_.push_back(read);
  StartReadRound();
}

void node::Handle(const kernel::host_id& /*sender*/, const read_index_reply& reply) {
  const auto found = local_reads_.find(reply.request);
  if (found == local_reads_.end()) return;
  completed_reads_.push_back(read_index_result{found->second.nonce, reply.index});
  local_reads_.erase(found);
}

// Starts a heartbeat round for reads that have none yet, unless a round for earlier reads is in
// progress: reads that arrive during a round share the next one.
void node::StartReadRound() {
  if (role_ != role::kLeader || !HasCommittedInCurrentTerm()) return;
  bool has_new_reads = false;
  for (const pending_read& read : pending_reads_) {
    if (read.round != kernel::heartbeat_round()) return;
    has_new_reads = true;
  }
  if (has_new_reads) StartHeartbeatRound(/*voters_only=*/true);
}

void node::ReplyToRead(const pending_read& read, std::optional<kernel::log_index> index) {
  if (read.origin_host == self_) {
    Handle(self_, read_index_reply{read.request_nonce, index});
  } else {
    Send(read.origin_host, read_index_reply{read.request_nonce, index});
  }
}

void node::FailPendingReads() {
  for (const pending_read& read : pending_reads_) ReplyToRead(read, std::nullopt);
  pending_reads_.clear();
}

}  // namespace cornelweir::replication
