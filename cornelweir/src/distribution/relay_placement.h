#ifndef CORNELWEIR_SRC_DISTRIBUTION_RELAY_PLACEMENT_H_
#define CORNELWEIR_SRC_DISTRIBUTION_RELAY_PLACEMENT_H_

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cornelweir/src/distribution/admission_rate.h"
#include "cornelweir/src/distribution/placement.h"

namespace cornelweir::distribution {

// The placement of a relaying daemon: it serves at most kMaxChildren daemons of its own service,
// and none while it has no working publisher itself.
class relay_placement {
 public:
  static constexpr bool kHoldsTable = false;

  relay_placement(kernel::service_name service, kernel::host_id host, kernel::endpoint endpoint)
      : service_(std::move(service)), host_(std::move(host)), endpoint_(std::move(endpoint)) {}

  // Whether this daemon's own publisher works.
  void SetFed(bool fed) { fed_ = fed; }

  template <kernel::random_source Random>
  std::optional<redirect> Place(subscriber_id id, const subscribe& request, const feed& source,
                                kernel::time_point now, Random& random) {
    if (!fed_ || request.service != service_ || request.subscriber == host_) {
      return RetryLater({}, random);
    }
    if (children_.size() >= kMaxChildren) {
      return redirect{OtherRelays(request.subscriber, source), 0};
    }
    if (!rate_.Admit(now)) return RetryLater({}, random);
    children_.emplace(id, request);
    return std::nullopt;
  }

  void OnRemoved(subscriber_id id) { children_.erase(id); }

  std::vector<std::pair<subscriber_id, redirect>> Review(const feed& /*source*/,
                                                         kernel::time_point /*now*/) {
    return {};
  }

 private:
  // The relays that the tree names for a daemon, without this one. If there are none, relays that
  // subscribe here.
  std::vector<kernel::endpoint> OtherRelays(const kernel::host_id& host, const feed& source) const;

  kernel::service_name service_;
  kernel::host_id host_;
  kernel::endpoint endpoint_;
  bool fed_ = false;
  std::map<subscriber_id, subscribe> children_;
  admission_rate rate_;
};

static_assert(placement<relay_placement>);

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_RELAY_PLACEMENT_H_
