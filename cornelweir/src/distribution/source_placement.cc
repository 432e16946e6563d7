#include "cornelweir/src/distribution/source_placement.h"

#include <algorithm>

namespace cornelweir::distribution {

void source_placement::OnRemoved(subscriber_id id) {
  const auto found = directs_.find(id);
  if (found == directs_.end()) return;
  const auto group = by_service_.find(found->second.request.service);
  group->second.erase(id);
  if (group->second.empty()) by_service_.erase(group);
  if (found->second.until) --temporary_;
  directs_.erase(found);
}

source_placement::verdict source_placement::Decide(const subscribe& request,
                                                   const feed& source) const {
  if (directs_.size() >= kMaxSubscribers) return {};
  const relay_tree tree(RelayCandidates(source.members(), request.service));
  if (tree.IsRoot(request.subscriber)) return {verdict_kind::kRoot, {}};
  // Daemons subscribe before their upstreams announce themselves, so at first there is no tree.
  if (tree.size() + CountUnannounced(request.service, tree) < kRoots) {
    return {verdict_kind::kRoot, {}};
  }
  std::vector<kernel::endpoint> candidates = tree.ParentsOf(request.subscriber);
  if (candidates.empty()) candidates = ConnectedRelays(request.service, request.subscriber);
  const bool stranded = request.failed_relays >= kFailedRelaysForDirect || candidates.empty();
  if (!stranded) return {verdict_kind::kRedirect, std::move(candidates)};
  if (temporary_ < kMaxTemporary && CountTemporary(request.service) < kMaxTemporaryPerService) {
    return {verdict_kind::kTemporary, {}};
  }
  // The relays of the tree failed this daemon, but one that is connected here has a source.
  candidates = ConnectedRelays(request.service, request.subscriber);
  if (candidates.empty()) return {};
  return {verdict_kind::kRedirect, std::move(candidates)};
}

void source_placement::Keep(subscriber_id id, const subscribe& request, verdict_kind kind,
                            kernel::time_point now) {
  direct kept{request, std::nullopt};
  if (kind == verdict_kind::kTemporary) {
    kept.until = now + kTemporaryStay;
    ++temporary_;
  }
  by_service_[request.service].insert(id);
  directs_.insert_or_assign(id, std::move(kept));
}

std::vector<std::pair<subscriber_id, redirect>> source_placement::Review(const feed& source,
                                                                         kernel::time_point now) {
  std::vector<std::pair<subscriber_id, redirect>> overdue;
  if (last_review_ && now - *last_review_ < kReviewInterval) return overdue;
  last_review_ = now;
  for (const auto& [service, ids] : by_service_) {
    const relay_tree tree(RelayCandidates(source.members(), service));
    for (const subscriber_id id : ids) {
      direct& kept = directs_.at(id);
      // Before enough daemons are announced nobody can be sent elsewhere.
      const bool stays =
          tree.IsRoot(kept.request.subscriber) || (tree.size() < kRoots && !kept.until);
      if (stays) {
        if (kept.until) --temporary_;
        kept.until.reset();
        continue;
      }
      if (!kept.until) {
        kept.until = now + kTemporaryStay;
        ++temporary_;
        continue;
      }
      if (now < *kept.until || overdue.size() >= kMaxReleasesPerReview) continue;
      std::vector<kernel::endpoint> candidates = tree.ParentsOf(kept.request.subscriber);
      if (!candidates.empty()) overdue.emplace_back(id, redirect{std::move(candidates), 0});
    }
  }
  return overdue;
}

std::size_t source_placement::CountTemporary(const kernel::service_name& service) const {
  const auto group = by_service_.find(service);
  if (group == by_service_.end()) return 0;
  return static_cast<std::size_t>(
      std::count_if(group->second.begin(), group->second.end(),
                    [&](subscriber_id id) { return directs_.at(id).until.has_value(); }));
}

std::size_t source_placement::CountUnannounced(const kernel::service_name& service,
                                               const relay_tree& tree) const {
  const auto group = by_service_.find(service);
  if (group == by_service_.end()) return 0;
  return static_cast<std::size_t>(std::count_if(
      group->second.begin(), group->second.end(),
      [&](subscriber_id id) { return !tree.Contains(directs_.at(id).request.subscriber); }));
}

std::vector<kernel::endpoint> source_placement::ConnectedRelays(const kernel::service_name& service,
                                                                const kernel::host_id& host) const {
  std::vector<kernel::endpoint> relays;
  const auto group = by_service_.find(service);
  if (group == by_service_.end()) return relays;
  for (const subscriber_id id : group->second) {
    const subscribe& request = directs_.at(id).request;
    if (!request.relay_capable || request.subscriber == host) continue;
    relays.push_back(request.control_endpoint);
    if (relays.size() == kMaxCandidates) break;
  }
  return relays;
}

}  // namespace cornelweir::distribution
