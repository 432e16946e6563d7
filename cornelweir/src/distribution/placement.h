#ifndef CORNELWEIR_SRC_DISTRIBUTION_PLACEMENT_H_
#define CORNELWEIR_SRC_DISTRIBUTION_PLACEMENT_H_

#include <concepts>
#include <optional>
#include <utility>
#include <vector>

#include "cornelweir/src/distribution/feed.h"
#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/distribution/limits.h"
#include "cornelweir/src/distribution/redirect.h"
#include "cornelweir/src/distribution/subscribe.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/random_source.h"

namespace cornelweir::distribution {

// Decides which subscribers a publisher serves itself.
//
// Place() decides about a new subscriber: nothing means that it is admitted. OnRemoved() is told of
// admitted ones that are gone. Review() names admitted ones that have to go. kHoldsTable tells
// whether the publisher is fed the full table (a control host) or one scope (a relay).
template <class T>
concept placement = requires(T& policy, subscriber_id id, const subscribe& request,
                             const feed& source, kernel::time_point now,
                             kernel::seeded_random& random) {
  { T::kHoldsTable } -> std::convertible_to<bool>;
  { policy.Place(id, request, source, now, random) } -> std::same_as<std::optional<redirect>>;
  {policy.OnRemoved(id)};
  { policy.Review(source, now) } -> std::same_as<std::vector<std::pair<subscriber_id, redirect>>>;
};

// Tells a subscriber to try again after a random delay, so that those turned away together do not
// come back together.
template <kernel::random_source Random>
redirect RetryLater(std::vector<kernel::endpoint> candidates, Random& random) {
  const auto range = static_cast<std::uint64_t>((kMaxRetryAfter - kMinRetryAfter).count());
  const auto spread = static_cast<std::int64_t>(kernel::UniformBelow(random, range + 1));
  return redirect{std::move(candidates), kMinRetryAfter.count() + spread};
}

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_PLACEMENT_H_
