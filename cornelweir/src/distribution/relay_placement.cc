#include "cornelweir/src/distribution/relay_placement.h"

#include "cornelweir/src/distribution/relay_tree.h"

namespace cornelweir::distribution {

std::vector<kernel::endpoint> relay_placement::OtherRelays(
    const kernel::host_id& host, const subscription_manager& subscriptions) const {
  const relay_tree tree(RelayCandidates(subscriptions.members(), service_));
  std::vector<kernel::endpoint> relays = tree.ParentsOf(host);
  std::erase(relays, endpoint_);
  if (!relays.empty()) return relays;
  for (const auto& [id, request] : children_) {
    if (!request.relay_capable || request.subscriber == host) continue;
    relays.push_back(request.control_endpoint);
    if (relays.size() == kMaxRedirectCandidates) break;
  }
  return relays;
}

}  // namespace cornelweir::distribution
