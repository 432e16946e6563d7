#ifndef CORNELWEIR_SRC_DISTRIBUTION_CONTROL_HOST_PLACEMENT_H_
#define CORNELWEIR_SRC_DISTRIBUTION_CONTROL_HOST_PLACEMENT_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cornelweir/src/distribution/admission_rate_limiter.h"
#include "cornelweir/src/distribution/placement.h"
#include "cornelweir/src/distribution/relay_tree.h"

namespace cornelweir::distribution {

// The placement of a control host: admits the roots of each service and redirects other daemons to
// relays.
//
// A daemon that is not a root is admitted for kTemporarySubscriptionDuration if relays failed it,
// or if there is no relay to redirect it to. At most kMaxTemporarySubscribersPerService daemons of
// a service and kMaxTemporarySubscribers in total are admitted this way, so a failure of many
// relays does not make every daemon subscribe here.
class control_host_placement {
 public:
  static constexpr bool kHasFullTable = true;

  template <kernel::random_source Random>
  std::optional<redirect> Place(subscriber_id id, const subscribe& request,
                                const subscription_manager& subscriptions, kernel::time_point now,
                                Random& random) {
    const decision decided = Decide(request, subscriptions);
    if (decided.kind == action::kRedirect) return redirect{decided.candidates, 0};
    if (decided.kind == action::kRetry || !rate_limiter_.Admit(now)) return RetryLater({}, random);
    AddSubscriber(id, request, decided.kind, now);
    return std::nullopt;
  }

  void OnRemoved(subscriber_id id);

  std::vector<std::pair<subscriber_id, redirect>> Review(const subscription_manager& subscriptions,
                                                         kernel::time_point now);

 private:
  enum class action { kRoot, kTemporary, kRedirect, kRetry };

  struct decision {
    action kind = action::kRetry;
    std::vector<kernel::endpoint> candidates;
  };

  struct direct_subscriber {
    subscribe request;
    // When the subscription ends. Nothing for a root.
    std::optional<kernel::time_point> expires_at;
  };

  decision Decide(const subscribe& request, const subscription_manager& subscriptions) const;
  void AddSubscriber(subscriber_id id, const subscribe& request, action kind,
                     kernel::time_point now);
  std::size_t CountTemporary(const kernel::service_name& service) const;
  // Subscribers of the service that are not in its relay tree.
  std::size_t CountUnannounced(const kernel::service_name& service, const relay_tree& tree) const;
  // The relays of a service that subscribe here, except `host`.
  std::vector<kernel::endpoint> ConnectedRelays(const kernel::service_name& service,
                                                const kernel::host_id& host) const;

  std::map<subscriber_id, direct_subscriber> direct_subscribers_;
  std::map<kernel::service_name, std::set<subscriber_id>> ids_by_service_;
  std::size_t temporary_count_ = 0;
  admission_rate_limiter rate_limiter_;
  std::optional<kernel::time_point> last_review_;
};

static_assert(placement<control_host_placement>);

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_CONTROL_HOST_PLACEMENT_H_
