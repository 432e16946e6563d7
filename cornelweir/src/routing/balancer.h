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

// Chooses upstreams for requests. Only the daemon's own observations decide about load, latency
// and ejection: what upstreams say about their health may be stale or wrong.
class balancer {
 public:
  explicit balancer(kernel::failure_domain own_domain) : own_domain_(std::move(own_domain)) {}

  // Takes over the weights of a table and the announced upstreams.
  void Update(const table::row_map& rows, const std::vector<upstream_candidate>& candidates,
              kernel::time_point now);

  // Chooses an upstream of the service that is not excluded: a subset by weight among those with
  // usable members, in it the less loaded of two random members, of the own failure domain as
  // long as one of its members is not loaded. Members to which connections were refused lately are
  // chosen only if there are no others. None if there is no usable member.
  template <kernel::random_source Random>
  std::optional<kernel::upstream_id> Pick(const kernel::service_name& service,
                                          const std::vector<kernel::upstream_id>& exclude,
                                          kernel::time_point now, Random& random);

  // Observations: each OnStart is followed by one OnFinish, also if the upstream has gone.
  void OnStart(const kernel::upstream_id& id, kernel::time_point now);
  void OnFinish(const kernel::upstream_id& id, finish_kind kind, kernel::microseconds latency,
                kernel::time_point now);

  // The announced data of an upstream, or null.
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

  // Fills usable_ with the members of the subset that may get a request.
  void CollectUsable(const subset& candidates, const std::vector<kernel::upstream_id>& exclude,
                     bool unreachable_too, kernel::time_point now);
  // Fills open_subsets_ with the subsets that have such members. Returns the sum of their weights.
  std::int64_t CollectSubsets(const service_members& service,
                              const std::vector<kernel::upstream_id>& exclude, bool unreachable_too,
                              kernel::time_point now);
  // Reduces usable_ to the own failure domain unless its members are loaded.
  void PreferOwnDomain(kernel::time_point now);
  // Removes one of usable_ by random, weighted by slots.
  template <kernel::random_source Random>
  member* Draw(kernel::time_point now, Random& random);
  static member* LessLoaded(member* first, member* second, kernel::time_point now);

  subset* SubsetOf(const member& of);
  void ConsiderEjection(member& failing, kernel::time_point now);
  static void KeepWithinBound(subset& of, kernel::time_point now);

  kernel::failure_domain own_domain_;
  std::uint64_t revision_ = 0;
  std::unordered_map<kernel::upstream_id, member> members_;
  std::unordered_map<kernel::service_name, service_members> services_;
  // Scratch of Pick(), kept to avoid allocations.
  std::vector<member*> usable_;
  std::vector<const subset*> open_subsets_;
};

template <kernel::random_source Random>
balancer::member* balancer::Draw(kernel::time_point now, Random& random) {
  double total = 0;
  for (const member* candidate : usable_) total += candidate->EffectiveSlots(now);
  constexpr std::uint64_t kResolution = 1ULL << 53;
  double point = total * static_cast<double>(kernel::UniformBelow(random, kResolution)) /
                 static_cast<double>(kResolution);
  std::size_t index = 0;
  while (index + 1 < usable_.size()) {
    point -= usable_[index]->EffectiveSlots(now);
    if (point < 0) break;
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
  bool unreachable_too = false;
  std::int64_t total = CollectSubsets(found->second, exclude, unreachable_too, now);
  if (total == 0) {
    unreachable_too = true;
    total = CollectSubsets(found->second, exclude, unreachable_too, now);
  }
  if (total == 0) return std::nullopt;
  auto point =
      static_cast<std::int64_t>(kernel::UniformBelow(random, static_cast<std::uint64_t>(total)));
  std::size_t chosen = 0;
  while (point >= open_subsets_[chosen]->weight) point -= open_subsets_[chosen++]->weight;

  CollectUsable(*open_subsets_[chosen], exclude, unreachable_too, now);
  PreferOwnDomain(now);
  member* pick = Draw(now, random);
  // A member that is being probed is not compared: its observations are from before its ejection.
  if (pick->state() == member::health::kTrusted && !usable_.empty()) {
    pick = LessLoaded(pick, Draw(now, random), now);
  }
  return pick->candidate().id;
}

}  // namespace cornelweir::routing

#endif  // CORNELWEIR_SRC_ROUTING_BALANCER_H_
