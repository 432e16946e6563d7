// How a control host keeps its group: joins it, and as the leader changes it.

#include <utility>

#include "cornelweir/logging.h"
#include "plugins/control/control_plugin.h"
#include "plugins/control/seed_group.h"

namespace cornelweir::plugins::control {
namespace internal {

// A host that has heard from no leader for this long may not be in the group any more.
constexpr kernel::milliseconds kJoinRequestDelay{800};
constexpr kernel::milliseconds kJoinRequestTimeout{2'000};
// How long after its start a host waits for a new group to have its voters. Then it accepts changes
// without them, so that hosts that never start do not hold them back for good.
constexpr kernel::milliseconds kFoundingTimeout{20'000};

}  // namespace internal

void control_plugin::OnJoin(const protocol::join_request& request) {
  if (context_.settings.control->seeds.empty()) return;
  const replication::node& node = replica_.node();
  if (node.IsLeader()) {
    join_requests_[request.host] = context_.clock.Now() + internal::kJoinRequestTimeout;
  } else if (node.leader() && *node.leader() != request.host) {
    mesh_.Send(*node.leader(), request);
  }
}

// Keeps links to all hosts that may be in the group. On the leader, also proposes changes until the
// group has the required voters. A host that hears from no leader requests to join: the host or its
// disk is new, or the group replaced it while it was down.
void control_plugin::MaintainGroup() {
  const replication::node& node = replica_.node();
  const kernel::time_point now = context_.clock.Now();
  std::erase_if(join_requests_,
                [&](const auto& join_request) { return join_request.second <= now; });
  std::set<kernel::host_id> hosts(node.configuration().voters.begin(),
                                  node.configuration().voters.end());
  hosts.insert(node.configuration().learners.begin(), node.configuration().learners.end());
  for (const kernel::endpoint& seed : context_.settings.control->seeds) {
    hosts.insert(internal::MeshHost(seed, context_.settings.control->mesh_listen));
  }
  for (const auto& [link, host] : peers_) hosts.insert(host);
  mesh_.SetPeers(hosts);
  if (!node.IsLeader()) {
    RequestToJoin();
    return;
  }
  std::set<kernel::host_id> joining;
  for (const auto& [host, expires_at] : join_requests_) joining.insert(host);
  const replication::group_target target = Target();
  const auto proposed =
      replication::NextConfiguration(node.configuration(), node.PeerStatuses(), joining, target);
  const replication::promotion_rule rule = target.is_founding
                                               ? replication::promotion_rule::kAnyLearner
                                               : replication::promotion_rule::kCaughtUp;
  if (!proposed || !replica_.ProposeConfiguration(*proposed, rule)) return;
  logging::event(logging::event_id::kGroupChanged)
      .With("voters", proposed->voters.size())
      .With("learners", proposed->learners.size())
      .With("wanted", target.voters)
      .With("founding", target.is_founding);
}

// A host whose storage fails since its start requests to join for a while as well: a group that is
// being founded must know of it, since it needs all its voters before it accepts a change.
void control_plugin::RequestToJoin() {
  if (replica_.IsStorageHealthy()) {
    const auto since = replica_.node().TimeSinceLeaderContact();
    if (since && *since <= internal::kJoinRequestDelay) return;
  } else if (context_.clock.Now() - started_at_ >= internal::kFoundingTimeout) {
    return;
  }
  mesh_.Broadcast(protocol::join_request{context_.settings.host});
}

std::size_t control_plugin::RequiredVoters() const {
  return internal::RequiredVoters(*context_.settings.control);
}

// Returns whether the group is new and still has fewer voters than an acknowledged change needs to
// survive the tolerated losses. This outlasts restarts of all hosts: no change was accepted yet.
bool control_plugin::IsFounding() const {
  return !context_.settings.control->seeds.empty() && !replica_.HasAppliedCommand() &&
         replica_.node().configuration().voters.size() < RequiredVoters();
}

replication::group_target control_plugin::Target() const {
  return {RequiredVoters(), IsFounding()};
}

// Returns whether changes wait because the group is being founded.
bool control_plugin::HoldsChanges() {
  const kernel::microseconds age = context_.clock.Now() - started_at_;
  const bool holds = IsFounding() && age < internal::kFoundingTimeout;
  if (holds != std::exchange(held_change_, holds)) {
    logging::event(logging::event_id::kFoundingHoldsChanges)
        .With("held", holds)
        .With("voters", replica_.node().configuration().voters.size())
        .With("learners", replica_.node().configuration().learners.size())
        .With("wanted", RequiredVoters())
        .With("age_ms", kernel::ToMilliseconds(age).count());
  }
  return holds;
}

}  // namespace cornelweir::plugins::control
