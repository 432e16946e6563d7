#include "cornelweir/src/routing/balancer.h"

#include <algorithm>
#include <unordered_set>
#include <variant>

#include "cornelweir/src/routing/limits.h"
#include "cornelweir/src/table/row_key.h"

namespace cornelweir::routing {

void balancer::Update(const table::row_map& rows, const std::vector<upstream_candidate>& candidates,
                      kernel::time_point now) {
  ++revision_;
  std::unordered_set<kernel::service_name> known;
  for (const auto& [id, state] : members_) known.insert(state.candidate().service);
  services_.clear();
  for (const auto& [key, content] : rows) {
    const auto* split = std::get_if<table::split_row>(&content);
    if (split == nullptr || split->weight.value() <= 0) continue;
    services_[table::SplitService(key)].subsets.push_back(
        subset{table::SplitSubset(key), split->weight.value(), {}});
  }
  for (const upstream_candidate& candidate : candidates) {
    member& state = members_[candidate.id];
    // No slow start for the first members of a service: there are no older members that could take
    // more of the load.
    state.Announce(candidate, revision_, known.contains(candidate.service), now);
    if (subset* own_subset = SubsetOf(state)) own_subset->members.push_back(&state);
  }
  for (auto& [id, state] : members_) state.WithdrawIfStale(revision_);
  std::erase_if(members_, [](const auto& entry) {
    return !entry.second.announced() && entry.second.in_progress() == 0;
  });
  for (auto& [name, service] : services_) {
    for (subset& checked : service.subsets) EnforceEjectionLimit(checked, now);
  }
}

void balancer::OnStart(const kernel::upstream_id& id, kernel::time_point /*now*/) {
  const auto found = members_.find(id);
  if (found != members_.end()) found->second.OnStart();
}

void balancer::OnFinish(const kernel::upstream_id& id, finish_kind kind,
                        kernel::microseconds latency, kernel::time_point now) {
  const auto found = members_.find(id);
  if (found == members_.end()) return;
  member& state = found->second;
  state.OnFinish(kind, latency, now);
  if (!state.announced()) {
    if (state.in_progress() == 0) members_.erase(found);
    return;
  }
  if (kind == finish_kind::kFailure && state.IsFailing(now)) ConsiderEjection(state, now);
}

const upstream_candidate* balancer::Find(const kernel::upstream_id& id) const {
  const auto found = members_.find(id);
  return found == members_.end() || !found->second.announced() ? nullptr
                                                               : &found->second.candidate();
}

bool balancer::IsEjected(const kernel::upstream_id& id) const {
  const auto found = members_.find(id);
  return found != members_.end() && found->second.state() != member::health::kHealthy;
}

kernel::request_count balancer::InProgress(const kernel::upstream_id& id) const {
  const auto found = members_.find(id);
  return kernel::request_count(found == members_.end() ? 0 : found->second.in_progress());
}

void balancer::CollectUsable(const subset& candidates,
                             const std::vector<kernel::upstream_id>& exclude,
                             bool include_unreachable, kernel::time_point now) {
  usable_.clear();
  for (member* candidate : candidates.members) {
    if (!candidate->IsUsable(now)) continue;
    if (!include_unreachable && !candidate->IsReachable(now)) continue;
    if (std::find(exclude.begin(), exclude.end(), candidate->candidate().id) != exclude.end()) {
      continue;
    }
    usable_.push_back(candidate);
  }
}

std::int64_t balancer::CollectSubsets(const service_members& service,
                                      const std::vector<kernel::upstream_id>& exclude,
                                      bool include_unreachable, kernel::time_point now) {
  usable_subsets_.clear();
  std::int64_t total = 0;
  for (const subset& candidates : service.subsets) {
    CollectUsable(candidates, exclude, include_unreachable, now);
    if (usable_.empty()) continue;
    usable_subsets_.push_back(&candidates);
    total += candidates.weight;
  }
  return total;
}

void balancer::PreferOwnDomain(kernel::time_point now) {
  const auto is_preferred = [&](const member* candidate) {
    return candidate->candidate().domain == own_domain_ &&
           candidate->state() == member::health::kHealthy && !candidate->IsLoaded(now);
  };
  if (std::none_of(usable_.begin(), usable_.end(), is_preferred)) return;
  // Members that are being probed stay, in every failure domain: one that is never probed stays
  // ejected and counts against the limit of ejected members.
  std::erase_if(usable_, [&](const member* candidate) {
    return candidate->state() == member::health::kHealthy && !is_preferred(candidate);
  });
}

balancer::member* balancer::LessLoaded(member* first, member* second, kernel::time_point now) {
  if (second->state() != member::health::kHealthy) return first;
  const bool with_latency = first->HasLatency(now) && second->HasLatency(now);
  const double first_cost = first->Cost(now, with_latency);
  const double second_cost = second->Cost(now, with_latency);
  return first_cost > second_cost * kCostTolerance ? second : first;
}

balancer::subset* balancer::SubsetOf(const member& upstream) {
  const auto found = services_.find(upstream.candidate().service);
  if (found == services_.end()) return nullptr;
  for (subset& candidate : found->second.subsets) {
    if (candidate.name == upstream.candidate().subset) return &candidate;
  }
  return nullptr;
}

void balancer::ConsiderEjection(member& failing, kernel::time_point now) {
  subset* own_subset = SubsetOf(failing);
  if (own_subset == nullptr || failing.state() != member::health::kHealthy) return;
  std::size_t members = 0;
  std::size_t ejected = 0;
  std::size_t ejected_or_failing = 0;
  for (const member* candidate : own_subset->members) {
    if (!candidate->counts_in_subset()) continue;
    ++members;
    const bool is_ejected = candidate->state() != member::health::kHealthy;
    if (is_ejected) ++ejected;
    if (is_ejected || candidate->IsFailing(now)) ++ejected_or_failing;
  }
  if (2 * ejected_or_failing > members) {
    // Most members fail, so the fault is common to them; ejecting some would only concentrate the
    // load on the others.
    for (member* candidate : own_subset->members) {
      if (candidate->state() != member::health::kHealthy) candidate->Readmit(now);
    }
    return;
  }
  if (ejected < members / kMembersPerEjection) failing.Eject(now);
}

void balancer::EnforceEjectionLimit(subset& checked, kernel::time_point now) {
  const auto members = static_cast<std::size_t>(
      std::count_if(checked.members.begin(), checked.members.end(),
                    [](const member* candidate) { return candidate->counts_in_subset(); }));
  std::vector<member*> ejected;
  for (member* candidate : checked.members) {
    if (candidate->counts_in_subset() && candidate->state() != member::health::kHealthy) {
      ejected.push_back(candidate);
    }
  }
  std::sort(ejected.begin(), ejected.end(), [](const member* left, const member* right) {
    return left->ejected_until() < right->ejected_until();
  });
  const std::size_t max_ejected = members / kMembersPerEjection;
  for (std::size_t i = 0; i + max_ejected < ejected.size(); ++i) ejected[i]->Readmit(now);
}

}  // namespace cornelweir::routing
