#include "cornelweir/src/replication/next_configuration.h"

#include <algorithm>

#include "cornelweir/src/replication/limits.h"

namespace cornelweir::replication {
namespace {

bool IsAwaitingPromotion(const group_configuration& current, const kernel::host_id& host) {
  const disk_record* record = FindDiskRecord(current, host);
  return record != nullptr && record->promote;
}

bool IsHeardFrom(const peer_status& peer) {
  return peer.caught_up && peer.time_since_contact < kFoundingSilence;
}

// Returns the learner that has been silent for longest, if the voters that are heard from, with the
// leader itself, are a majority of the group that has it as a further voter.
const peer_status* SilentLearner(const group_configuration& current,
                                 const std::vector<peer_status>& peers) {
  std::size_t heard_voters = 1;
  const peer_status* silent = nullptr;
  for (const peer_status& peer : peers) {
    if (IsVoter(current, peer.host)) {
      if (IsHeardFrom(peer)) ++heard_voters;
    } else if (peer.time_since_contact >= kFoundingSilence &&
               !IsAwaitingPromotion(current, peer.host) &&
               (silent == nullptr || peer.time_since_contact > silent->time_since_contact)) {
      silent = &peer;
    }
  }
  const std::size_t next_quorum = (current.voters.size() + 1) / 2 + 1;
  return heard_voters >= next_quorum ? silent : nullptr;
}

}  // namespace

std::optional<group_configuration> NextConfiguration(const group_configuration& current,
                                                     const std::vector<peer_status>& peers,
                                                     const std::set<kernel::host_id>& joining_hosts,
                                                     const group_target& target) {
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
  if (current.voters.size() < target.voters) {
    const peer_status* promoted = ready_learner;
    if (promoted == nullptr && target.is_founding) promoted = SilentLearner(current, peers);
    if (promoted != nullptr) {
      std::erase(next.learners, promoted->host);
      next.voters.push_back(promoted->host);
      return next;
    }
  }
  const bool has_surplus_voter = current.voters.size() > target.voters;
  if (lost_voter != nullptr && (ready_learner != nullptr || has_surplus_voter)) {
    std::erase(next.voters, lost_voter->host);
    return next;
  }
  return std::nullopt;
}

}  // namespace cornelweir::replication
