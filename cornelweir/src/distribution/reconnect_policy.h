#ifndef CORNELWEIR_SRC_DISTRIBUTION_RECONNECT_POLICY_H_
#define CORNELWEIR_SRC_DISTRIBUTION_RECONNECT_POLICY_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/distribution/limits.h"
#include "cornelweir/src/distribution/redirect.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/kernel/random_source.h"

namespace cornelweir::distribution {

// The next publisher to subscribe to, and the delay before the attempt.
struct next_publisher {
  kernel::endpoint endpoint;
  kernel::milliseconds delay{0};
  bool is_relay = false;
};

// Chooses a daemon's next publisher.
//
// Starts with a random control host and follows redirects to relays. A relay that fails or
// redirects the daemon counts as failed. After kRelayFailuresForDirectSubscription failures the
// daemon returns to a control host, which then admits it, so redirects between relays can't leave
// it without a publisher.
template <kernel::random_source Random>
class reconnect_policy {
 public:
  reconnect_policy(std::vector<kernel::endpoint> control_hosts, Random random)
      : control_hosts_(std::move(control_hosts)), random_(std::move(random)) {}

  // The next attempt. To be called after each failure or redirect, and once at the start.
  next_publisher Next() {
    next_publisher next;
    next.delay = std::exchange(retry_after_, kernel::milliseconds(0));
    if (attempts_ > 0) next.delay = std::max(next.delay, Backoff());
    current_is_relay_ = !candidates_.empty();
    if (current_is_relay_) {
      next.endpoint = candidates_.front();
      candidates_.pop_front();
    } else if (!control_hosts_.empty()) {
      next.endpoint = control_hosts_[kernel::UniformBelow(random_, control_hosts_.size())];
    }
    next.is_relay = current_is_relay_;
    return next;
  }

  // Handles a redirect: the publisher no longer serves the daemon.
  void OnRedirect(const redirect& message) {
    CountRelayFailure();
    if (current_is_relay_ || message.candidates.empty()) ++attempts_;
    retry_after_ = kernel::milliseconds(
        std::clamp<std::int64_t>(message.retry_after_ms, 0, kMaxBackoff.count()));
    candidates_.clear();
    if (failed_relays_ >= kRelayFailuresForDirectSubscription && current_is_relay_) return;
    for (const kernel::endpoint& candidate : message.candidates) {
      if (candidates_.size() == kMaxRedirectCandidates) break;
      candidates_.push_back(candidate);
    }
  }

  // Handles a publisher that could not be reached, closed the connection or stopped its heartbeat.
  void OnFailure() {
    CountRelayFailure();
    ++attempts_;
    if (failed_relays_ >= kRelayFailuresForDirectSubscription) candidates_.clear();
  }

  // Handles a new heartbeat round from the publisher.
  void OnHealthy() {
    attempts_ = 0;
    failed_relays_ = {};
    candidates_.clear();
  }

  // Relay failures since the last working publisher, for the next subscribe message.
  failure_count failed_relays() const { return failed_relays_; }

 private:
  void CountRelayFailure() {
    if (current_is_relay_) failed_relays_ = kernel::Next(failed_relays_);
  }

  // Full jitter: delays are uniformly distributed up to the bound.
  kernel::milliseconds Backoff() {
    std::int64_t bound = kMinBackoff.count();
    for (std::uint32_t doubled = 1; doubled < attempts_ && bound < kMaxBackoff.count(); ++doubled) {
      bound *= 2;
    }
    bound = std::min<std::int64_t>(bound, kMaxBackoff.count());
    const auto range = static_cast<std::uint64_t>(bound) + 1;
    return kernel::milliseconds{static_cast<std::int64_t>(kernel::UniformBelow(random_, range))};
  }

  std::vector<kernel::endpoint> control_hosts_;
  Random random_;
  std::deque<kernel::endpoint> candidates_;
  bool current_is_relay_ = false;
  std::uint32_t attempts_ = 0;
  failure_count failed_relays_;
  kernel::milliseconds retry_after_{0};
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_RECONNECT_POLICY_H_
