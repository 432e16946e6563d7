#include "cornelweir/src/distribution/control_host_placement.h"

#include <algorithm>

namespace cornelweir::distribution {

void control_host_placement::OnRemoved(subscriber_id id) {
  const auto found = direct_subscribers_.find(id);
  if (found == direct_subscribers_.end()) return;
  const auto service_ids = ids_by_service_.find(found->second.request.service);
  service_ids->second.erase(id);
  if (service_ids->second.empty()) ids_by_service_.erase(service_ids);
  if (found->second.expires_at) --temporary_count_;
  direct_subscribers_.erase(found);
}

control_host_placement::decision control_host_placement::Decide(
    const subscribe& request, const subscription_manager& subscriptions) const {
  if (direct_subscribers_.size() >= kMaxSubscribers) return {};
  const relay_tree tree(RelayCandidates(subscriptions.members(), request.service));
  if (tree.IsRoot(request.subscriber)) return {action::kRoot, {}};
  // Daemons subscribe before their upstreams announce themselves, so the tree is empty at first.
  if (tree.size() + CountUnannounced(request.service, tree) < kRootsPerService) {
    return {action::kRoot, {}};
  }
  std::vector<kernel::endpoint> candidates = tree.ParentsOf(request.subscriber);
  if (candidates.empty()) candidates = ConnectedRelays(request.service, request.subscriber);
  const bool needs_direct_service =
      request.failed_relays >= kRelayFailuresForDirectSubscription || candidates.empty();
  if (!needs_direct_service) return {action::kRedirect, std::move(candidates)};
  if (temporary_count_ < kMaxTemporarySubscribers &&
      CountTemporary(request.service) < kMaxTemporarySubscribersPerService) {
    return {action::kTemporary, {}};
  }
  // The relays in the tree failed this daemon, but a relay that subscribes here has a publisher.
  candidates = ConnectedRelays(request.service, request.subscriber);
  if (candidates.empty()) return {};
  return {action::kRedirect, std::move(candidates)};
}

void control_host_placement::AddSubscriber(subscriber_id id, const subscribe& request, action kind,
                                           kernel::time_point now) {
  direct_subscriber entry{request, std::nullopt};
  if (kind == action::kTemporary) {
    entry.expires_at = now + kTemporarySubscriptionDuration;
    ++temporary_count_;
  }
  ids_by_service_[request.service].insert(id);
  direct_subscribers_.insert_or_assign(id, std::move(entry));
}

std::vector<std::pair<subscriber_id, redirect>> control_host_placement::Review(
    const subscription_manager& subscriptions, kernel::time_point now) {
  std::vector<std::pair<subscriber_id, redirect>> redirects;
  if (last_review_ && now - *last_review_ < kPlacementReviewInterval) return redirects;
  last_review_ = now;
  for (const auto& [service, ids] : ids_by_service_) {
    const relay_tree tree(RelayCandidates(subscriptions.members(), service));
    for (const subscriber_id id : ids) {
      direct_subscriber& entry = direct_subscribers_.at(id);
      // Without enough announced daemons there is no relay to redirect to.
      const bool is_permanent = tree.IsRoot(entry.request.subscriber) ||
                                (tree.size() < kRootsPerService && !entry.expires_at);
      if (is_permanent) {
        if (entry.expires_at) --temporary_count_;
        entry.expires_at.reset();
        continue;
      }
      if (!entry.expires_at) {
        entry.expires_at = now + kTemporarySubscriptionDuration;
        ++temporary_count_;
        continue;
      }
      if (now < *entry.expires_at || redirects.size() >= kMaxRedirectsPerReview) continue;
      std::vector<kernel::endpoint> candidates = tree.ParentsOf(entry.request.subscriber);
      if (!candidates.empty()) redirects.emplace_back(id, redirect{std::move(candidates), 0});
    }
  }
  return redirects;
}

std::size_t control_host_placement::CountTemporary(const kernel::service_name& service) const {
  const auto service_ids = ids_by_service_.find(service);
  if (service_ids == ids_by_service_.end()) return 0;
  return static_cast<std::size_t>(std::count_if(
      service_ids->second.begin(), service_ids->second.end(),
      [&](subscriber_id id) { return direct_subscribers_.at(id).expires_at.has_value(); }));
}

std::size_t control_host_placement::CountUnannounced(const kernel::service_name& service,
                                                     const relay_tree& tree) const {
  const auto service_ids = ids_by_service_.find(service);
  if (service_ids == ids_by_service_.end()) return 0;
  return static_cast<std::size_t>(
      std::count_if(service_ids->second.begin(), service_ids->second.end(), [&](subscriber_id id) {
        return !tree.Contains(direct_subscribers_.at(id).request.subscriber);
      }));
}

std::vector<kernel::endpoint> control_host_placement::ConnectedRelays(
    const kernel::service_name& service, const kernel::host_id& host) const {
  std::vector<kernel::endpoint> relays;
  const auto service_ids = ids_by_service_.find(service);
  if (service_ids == ids_by_service_.end()) return relays;
  for (const subscriber_id id : service_ids->second) {
    const subscribe& request = direct_subscribers_.at(id).request;
    if (!request.relay_capable || request.subscriber == host) continue;
    relays.push_back(request.control_endpoint);
    if (relays.size() == kMaxRedirectCandidates) break;
  }
  return relays;
}

}  // namespace cornelweir::distribution
