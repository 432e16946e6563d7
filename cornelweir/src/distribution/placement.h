#ifndef CORNELWEIR_SRC_DISTRIBUTION_PLACEMENT_H_
#define CORNELWEIR_SRC_DISTRIBUTION_PLACEMENT_H_

#include <concepts>
#include <optional>
#include <utility>
#include <vector>

#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/distribution/limits.h"
#include "cornelweir/src/distribution/redirect.h"
#include "cornelweir/src/distribution/subscribe.h"
#include "cornelweir/src/distribution/subscription_manager.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/random_source.h"

namespace cornelweir::distribution {

// Decides which subscribers a publisher serves itself.
//
// Place() returns a redirect for a new subscriber, or nothing to admit it. OnRemoved() is called
// for each admitted subscriber that is removed. Review() returns admitted subscribers to redirect.
// kHasFullTable is true if the publisher holds the full table (a control host), and false if it
// holds one scope (a relay).
template <class T>
concept placement = requires(T& policy, subscriber_id id, const subscribe& request,
                             const subscription_manager& subscriptions, kernel::time_point now,
                             kernel::seeded_random& random) {
  { T::kHasFullTable } -> std::convertible_to<bool>;
  {
    policy.Place(id, request, subscriptions, now, random)
    } -> std::same_as<std::optional<redirect>>;
  {policy.OnRemoved(id)};
  {
    policy.Review(subscriptions, now)
    } -> std::same_as<std::vector<std::pair<subscriber_id, redirect>>>;
};

// A redirect to retry after a random delay in [kMinRetryAfter, kMaxRetryAfter], so that subscribers
// rejected together do not retry together.
template <kernel::random_source Random>
redirect RetryLater(std::vector<kernel::endpoint> candidates, Random& random) {
  const auto range = static_cast<std::uint64_t>((kMaxRetryAfter - kMinRetryAfter).count());
  const auto jitter = static_cast<std::int64_t>(kernel::UniformBelow(random, range + 1));
  return redirect{std::move(candidates), kMinRetryAfter.count() + jitter};
}

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_PLACEMENT_H_
