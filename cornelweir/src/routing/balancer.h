#ifndef CORNELWEIR_SRC_ROUTING_BALANCER_H_
#define CORNELWEIR_SRC_ROUTING_BALANCER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/kernel/random_source.h"
#include "cornelweir/src/routing/finish_kind.h"
#include "cornelweir/src/routing/member_state.h"
#include "cornelweir/src/routing/upstream_candidate.h"
#include "cornelweir/src/table/configuration.h"

namespace cornelweir::routing {

// Balances requests over the upstreams of a service and ejects failing ones. Load, latency and
// ejection depend only on what this daemon observes, since the health that upstreams report may be
// stale or wrong.
class balancer {
 public:
  explicit balancer(kernel::failure_domain own_domain) : own_domain_(std::move(own_domain)) {}

  // Replaces the split weights and the announced upstreams. Observations of upstreams that stay
  // announced with the same incarnation are kept.
  void Update(const table::row_map& rows, const std::vector<upstream_candidate>& candidates,
              kernel::time_point now);

  // Chooses an upstream of the service that is not excluded. First a subset is drawn by weight from
  // those with usable members, then the less loaded of two random members of that subset is taken
  // (power of two choices). Members of the own failure domain are preferred as long as one of them
  // is not loaded. Members whose daemon recently refused connections are chosen only if there are
  // no others. Empty if no member is usable.
  template <kernel::random_source Random>
  std::optional<kernel::upstream_id> Pick(const kernel::service_name& service,
                                          const std::vector<kernel::upstream_id>& exclude,
                                          kernel::time_point now, Random& random);

  // Record the start and the end of a request. Each OnStart must be followed by one OnFinish, also
  // if the upstream has been withdrawn in between.
  void OnStart(const kernel::upstream_id& id, kernel::time_point now);
  void OnFinish(const kernel::upstream_id& id, finish_kind kind, kernel::microseconds latency,
                kernel::time_point now);

  // The announced data of an upstream; null if it is not announced.
  const upstream_candidate* Find(const kernel::upstream_id& id) const;
  // Whether the upstream is ejected or being probed.
  bool IsEjected(const kernel::upstream_id& id) const;
  kernel::request_count InProgress(const kernel::upstream_id& id) const;

 private:
  using member = internal::member_state;

  struct subset {
    kernel::subset_name name;
    std::int64_t weight = 0;
    std::vector<member*> members;
  };
  struct service_members {
    std::vector<subset> subsets;
  };

  // Fills usable_ with the members of the subset that may receive a request.
  void CollectUsable(const subset& candidates, const std::vector<kernel::upstream_id>& exclude,
                     bool include_unreachable, kernel::time_point now);
  // Fills usable_subsets_ with the subsets that have such members. Returns the sum of their
  // weights.
  std::int64_t CollectSubsets(const service_members& service,
                              const std::vector<kernel::upstream_id>& exclude,
                              bool include_unreachable, kernel::time_point now);
  // Reduces the healthy members in usable_ to those of the own failure domain that are not loaded,
  // if there are any. Members that are being probed stay.
  void PreferOwnDomain(kernel::time_point now);
  // Removes a random member from usable_, weighted by effective slots, and returns it.
  template <kernel::random_source Random>
  member* RemoveRandomUsable(kernel::time_point now, Random& random);
  // The member with the lower cost; the first one if the costs are about equal.
  static member* LessLoaded(member* first, member* second, kernel::time_point now);

  // Null if the table gives the member's subset no weight.
  subset* SubsetOf(const member& upstream);
  // Ejects the member unless its subset has too many ejected members already. If most members of
  // the subset fail, readmits all instead.
  void ConsiderEjection(member& failing, kernel::time_point now);
  // Readmits the members whose ejection ends first until the limit of ejected members holds.
  static void EnforceEjectionLimit(subset& checked, kernel::time_point now);

  kernel::failure_domain own_domain_;
  std::uint64_t revision_ = 0;
  std::unordered_map<kernel::upstream_id, member> members_;
  std::unordered_map<kernel::service_name, service_members> services_;
  // Buffers of Pick(), kept as members to avoid allocations.
  std::vector<member*> usable_;
  std::vector<const subset*> usable_subsets_;
};

template <kernel::random_source Random>
balancer::member* balancer::RemoveRandomUsable(kernel::time_point now, Random& random) {
  double total = 0;
  for (const member* candidate : usable_) total += candidate->EffectiveSlots(now);
  constexpr std::uint64_t kResolution = 1ULL << 53;
  double offset = total * static_cast<double>(kernel::UniformBelow(random, kResolution)) /
                  static_cast<double>(kResolution);
  std::size_t index = 0;
  while (index + 1 < usable_.size()) {
    offset -= usable_[index]->EffectiveSlots(now);
    if (offset < 0) break;
    ++index;
  }
  member* drawn = usable_[index];
  usable_[index] = usable_.back();
  usable_.pop_back();
  return drawn;
}

template <kernel::random_source Random>
std::optional<kernel::upstream_id> balancer::Pick(const kernel::service_name& service,
                                                  const std::vector<kernel::upstream_id>& exclude,
                                                  kernel::time_point now, Random& random) {
  const auto found = services_.find(service);
  if (found == services_.end()) return std::nullopt;
  bool include_unreachable = false;
  std::int64_t total = CollectSubsets(found->second, exclude, include_unreachable, now);
  if (total == 0) {
    include_unreachable = true;
    total = CollectSubsets(found->second, exclude, include_unreachable, now);
  }
  if (total == 0) return std::nullopt;
  auto offset =
      static_cast<std::int64_t>(kernel::UniformBelow(random, static_cast<std::uint64_t>(total)));
  std::size_t chosen = 0;
  while (offset >= usable_subsets_[chosen]->weight) offset -= usable_subsets_[chosen++]->weight;

  CollectUsable(*usable_subsets_[chosen], exclude, include_unreachable, now);
  PreferOwnDomain(now);
  member* pick = RemoveRandomUsable(now, random);
  // A member that is being probed is not compared, because its observations date from before its
  // ejection.
  if (pick->state() == member::health::kHealthy && !usable_.empty()) {
    pick = LessLoaded(pick, RemoveRandomUsable(now, random), now);
  }
  return pick->candidate().id;
}

}  // namespace cornelweir::routing

#endif  // CORNELWEIR_SRC_ROUTING_BALANCER_H_
