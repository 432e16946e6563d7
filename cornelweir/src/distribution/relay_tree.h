#ifndef CORNELWEIR_SRC_DISTRIBUTION_RELAY_TREE_H_
#define CORNELWEIR_SRC_DISTRIBUTION_RELAY_TREE_H_

#include <cstddef>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/membership/member_history.h"

namespace cornelweir::distribution {

// A daemon that can serve others of its service.
struct relay_candidate {
  kernel::host_id host;
  kernel::endpoint endpoint;

  friend bool operator==(const relay_candidate&, const relay_candidate&) = default;
};

// The daemons of a service that can relay: those that announced where children subscribe and are
// not leaving.
std::vector<relay_candidate> RelayCandidates(const membership::member_history& members,
                                             const kernel::service_name& service);

// Which daemons of a service should subscribe to control hosts, and which of them to which relay.
//
// Everybody with the same members finds the same tree, so control hosts need not agree on it. The
// place of a daemon follows from a hash of its host, so that it changes for few when one joins or
// leaves. The first kRoots daemons in the order of the hash are the roots. Below each level comes
// one of at most kPlannedChildren times its size, until the rest fit below the last one.
class relay_tree {
 public:
  explicit relay_tree(std::vector<relay_candidate> candidates);

  bool IsRoot(const kernel::host_id& host) const;
  bool Contains(const kernel::host_id& host) const;

  // The relays that a daemon should subscribe to, best first, at most kMaxCandidates. Empty for a
  // root. Daemons choose among the relays of the level above theirs by a hash of both, so relays
  // share them evenly. A relay is never sent to its own level or to one below, so redirects do not
  // form loops.
  std::vector<kernel::endpoint> ParentsOf(const kernel::host_id& host) const;

  std::size_t size() const { return candidates_.size(); }

 private:
  // In the order of the hash of their hosts.
  std::vector<relay_candidate> candidates_;
  // The positions in candidates_ at which the levels that relay end.
  std::vector<std::size_t> level_ends_;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_RELAY_TREE_H_
