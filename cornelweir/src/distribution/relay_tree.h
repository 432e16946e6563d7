#ifndef CORNELWEIR_SRC_DISTRIBUTION_RELAY_TREE_H_
#define CORNELWEIR_SRC_DISTRIBUTION_RELAY_TREE_H_

#include <cstddef>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/membership/member_history.h"

namespace cornelweir::distribution {

// A daemon that can relay to other daemons of its service.
struct relay_candidate {
  kernel::host_id host;
  kernel::endpoint endpoint;

  friend bool operator==(const relay_candidate&, const relay_candidate&) = default;
};

// The daemons of a service that can relay: those that announced an endpoint for children and are
// not draining or gone.
std::vector<relay_candidate> RelayCandidates(const membership::member_history& members,
                                             const kernel::service_name& service);

// Determines which daemons of a service subscribe to control hosts, and which relays the others
// subscribe to.
//
// The tree is a function of the members, so processes with the same members compute the same tree
// without coordination. Daemons are ordered by a hash of their host, so that few change their
// parent when one joins or leaves. The first kRootsPerService daemons are the roots. Each further
// level has at most kTargetChildren times the size of the one above, until the remaining daemons
// fit below the last.
class relay_tree {
 public:
  explicit relay_tree(std::vector<relay_candidate> candidates);

  bool IsRoot(const kernel::host_id& host) const;
  bool Contains(const kernel::host_id& host) const;

  // The relays that a daemon should subscribe to, in order of preference, at most
  // kMaxRedirectCandidates. Empty for a root. Relays of the level above are ranked by a hash of
  // both hosts, which spreads daemons evenly over them. A parent is never on the same level or
  // below, so redirects form no loops.
  std::vector<kernel::endpoint> ParentsOf(const kernel::host_id& host) const;

  std::size_t size() const { return candidates_.size(); }

 private:
  // Ordered by the hash of their hosts.
  std::vector<relay_candidate> candidates_;
  // The end positions in candidates_ of the levels that relay.
  std::vector<std::size_t> level_ends_;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_RELAY_TREE_H_
