#include "cornelweir/src/replication/next_configuration.h"

#include <algorithm>

#include "cornelweir/src/replication/limits.h"

namespace cornelweir::replication {
namespace {

bool IsAwaitingPromotion(const group_configuration& current, const kernel::host_id& host) {
  const disk_record* record = FindDiskRecord(current, host);
  return record != nullptr && record->promote;
}

}  // namespace

std::optional<group_configuration> NextConfiguration(const group_configuration& current,
                                                     const std::vector<peer_status>& peers,
                                                     const std::set<kernel::host_id>& joining_hosts,
                                                     std::size_t target_voters) {
  group_configuration next = current;
  for (const kernel::host_id& host : joining_hosts) {
    if (IsVoter(current, host) || IsLearner(current, host)) continue;
    if (current.voters.size() + current.learners.size() >= kMaxHosts) break;
    next.learners.push_back(host);
    return next;
  }
  const peer_status* ready_learner = nullptr;
  const peer_status* lost_voter = nullptr;
  for (const peer_status& peer : peers) {
    if (IsLearner(current, peer.host)) {
      if (peer.time_since_contact > kLearnerRemovalTimeout &&
          !IsAwaitingPromotion(current, peer.host)) {
        std::erase(next.learners, peer.host);
        return next;
      }
      // The node itself promotes a former voter whose disk was replaced.
      if (peer.caught_up && peer.time_since_contact < kVoterReplacementTimeout &&
          !IsAwaitingPromotion(current, peer.host) && ready_learner == nullptr) {
        ready_learner = &peer;
      }
    } else if (peer.time_since_contact >= kVoterReplacementTimeout &&
               (lost_voter == nullptr ||
                peer.time_since_contact > lost_voter->time_since_contact)) {
      lost_voter = &peer;
    }
  }
  if (ready_learner != nullptr && current.voters.size() < target_voters) {
    std::erase(next.learners, ready_learner->host);
    next.voters.push_back(ready_learner->host);
    return next;
  }
  const bool has_surplus_voter = current.voters.size() > target_voters;
  if (lost_voter != nullptr && (ready_learner != nullptr || has_surplus_voter)) {
    std::erase(next.voters, lost_voter->host);
    return next;
  }
  return std::nullopt;
}

}  // namespace cornelweir::replication
