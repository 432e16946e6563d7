#ifndef CORNELWEIR_SRC_DISTRIBUTION_SOURCE_PLACEMENT_H_
#define CORNELWEIR_SRC_DISTRIBUTION_SOURCE_PLACEMENT_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cornelweir/src/distribution/admission_rate.h"
#include "cornelweir/src/distribution/placement.h"
#include "cornelweir/src/distribution/relay_tree.h"

namespace cornelweir::distribution {

// The placement of a control host: it keeps the roots of each service and sends the others to
// relays.
//
// A daemon that is no root is admitted for kTemporaryStay if relays failed it, or if there is no
// relay to name. At most kMaxTemporaryPerService of a service and kMaxTemporary in all are kept in
// this way, so a fault of many relays does not turn into a direct subscription of every daemon.
class source_placement {
 public:
  static constexpr bool kHoldsTable = true;

  template <kernel::random_source Random>
  std::optional<redirect> Place(subscriber_id id, const subscribe& request, const feed& source,
                                kernel::time_point now, Random& random) {
    const verdict decided = Decide(request, source);
    if (decided.kind == verdict_kind::kRedirect) return redirect{decided.candidates, 0};
    if (decided.kind == verdict_kind::kRetry || !rate_.Admit(now)) return RetryLater({}, random);
    Keep(id, request, decided.kind, now);
    return std::nullopt;
  }

  void OnRemoved(subscriber_id id);

  std::vector<std::pair<subscriber_id, redirect>> Review(const feed& source,
                                                         kernel::time_point now);

 private:
  enum class verdict_kind { kRoot, kTemporary, kRedirect, kRetry };

  struct verdict {
    verdict_kind kind = verdict_kind::kRetry;
    std::vector<kernel::endpoint> candidates;
  };

  struct direct {
    subscribe request;
    // When it has to go. Nothing for a root.
    std::optional<kernel::time_point> until;
  };

  verdict Decide(const subscribe& request, const feed& source) const;
  void Keep(subscriber_id id, const subscribe& request, verdict_kind kind, kernel::time_point now);
  std::size_t CountTemporary(const kernel::service_name& service) const;
  // Daemons of the service that subscribe here but are not in its tree.
  std::size_t CountUnannounced(const kernel::service_name& service, const relay_tree& tree) const;
  // The relays of a service that subscribe here, other than host itself.
  std::vector<kernel::endpoint> ConnectedRelays(const kernel::service_name& service,
                                                const kernel::host_id& host) const;

  std::map<subscriber_id, direct> directs_;
  std::map<kernel::service_name, std::set<subscriber_id>> by_service_;
  std::size_t temporary_ = 0;
  admission_rate rate_;
  std::optional<kernel::time_point> last_review_;
};

static_assert(placement<source_placement>);

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_SOURCE_PLACEMENT_H_
