#ifndef CORNELWEIR_SRC_DISTRIBUTION_RELAY_PLACEMENT_H_
#define CORNELWEIR_SRC_DISTRIBUTION_RELAY_PLACEMENT_H_

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cornelweir/src/distribution/admission_rate_limiter.h"
#include "cornelweir/src/distribution/placement.h"

namespace cornelweir::distribution {

// The placement of a relaying daemon: admits at most kMaxChildren daemons of its own service, and
// none while its own publisher does not work.
class relay_placement {
 public:
  static constexpr bool kHasFullTable = false;

  relay_placement(kernel::service_name service, kernel::host_id host, kernel::endpoint endpoint)
      : service_(std::move(service)), host_(std::move(host)), endpoint_(std::move(endpoint)) {}

  // Sets whether this daemon's own publisher works.
  void SetPublisherAlive(bool alive) { publisher_alive_ = alive; }

  template <kernel::random_source Random>
  std::optional<redirect> Place(subscriber_id id, const subscribe& request,
                                const subscription_manager& subscriptions, kernel::time_point now,
                                Random& random) {
    if (!publisher_alive_ || request.service != service_ || request.subscriber == host_) {
      return RetryLater({}, random);
    }
    if (children_.size() >= kMaxChildren) {
      return redirect{OtherRelays(request.subscriber, subscriptions), 0};
    }
    if (!rate_limiter_.Admit(now)) return RetryLater({}, random);
    children_.emplace(id, request);
    return std::nullopt;
  }

  void OnRemoved(subscriber_id id) { children_.erase(id); }

  std::vector<std::pair<subscriber_id, redirect>> Review(
      const subscription_manager& /*subscriptions*/, kernel::time_point /*now*/) {
    return {};
  }

 private:
  // The parents of a daemon in the relay tree, without this relay. If there are none, the relays
  // among the children of this one.
  std::vector<kernel::endpoint> OtherRelays(const kernel::host_id& host,
                                            const subscription_manager& subscriptions) const;

  kernel::service_name service_;
  kernel::host_id host_;
  kernel::endpoint endpoint_;
  bool publisher_alive_ = false;
  std::map<subscriber_id, subscribe> children_;
  admission_rate_limiter rate_limiter_;
};

static_assert(placement<relay_placement>);

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_RELAY_PLACEMENT_H_
