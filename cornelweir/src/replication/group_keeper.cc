#include "cornelweir/src/replication/group_keeper.h"

#include <algorithm>

#include "cornelweir/src/replication/limits.h"

namespace cornelweir::replication {
namespace {

bool IsRepaired(const group_configuration& current, const kernel::host_id& host) {
  const disk_record* record = FindDisk(current, host);
  return record != nullptr && record->promote;
}

}  // namespace

std::optional<group_configuration> NextConfiguration(const group_configuration& current,
                                                     const std::vector<peer_status>& peers,
                                                     const std::set<kernel::host_id>& applicants,
                                                     std::size_t wanted_voters) {
  group_configuration next = current;
  for (const kernel::host_id& host : applicants) {
    if (IsVoter(current, host) || IsLearner(current, host)) continue;
    if (current.voters.size() + current.learners.size() >= kMaxHosts) break;
    next.learners.push_back(host);
    return next;
  }
  const peer_status* ready = nullptr;
  const peer_status* silent_voter = nullptr;
  for (const peer_status& peer : peers) {
    if (IsLearner(current, peer.host)) {
      if (peer.silent_for > kForgetLearnerAfter && !IsRepaired(current, peer.host)) {
        std::erase(next.learners, peer.host);
        return next;
      }
      // The node itself promotes a voter whose disk was replaced.
      if (peer.caught_up && peer.silent_for < kReplaceVoterAfter &&
          !IsRepaired(current, peer.host) && ready == nullptr) {
        ready = &peer;
      }
    } else if (peer.silent_for >= kReplaceVoterAfter &&
               (silent_voter == nullptr || peer.silent_for > silent_voter->silent_for)) {
      silent_voter = &peer;
    }
  }
  if (ready != nullptr && current.voters.size() < wanted_voters) {
    std::erase(next.learners, ready->host);
    next.voters.push_back(ready->host);
    return next;
  }
  const bool surplus = current.voters.size() > wanted_voters;
  if (silent_voter != nullptr && (ready != nullptr || surplus)) {
    std::erase(next.voters, silent_voter->host);
    return next;
  }
  return std::nullopt;
}

}  // namespace cornelweir::replication
