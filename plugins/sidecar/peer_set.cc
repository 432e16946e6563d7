#include "plugins/sidecar/peer_set.h"

#include <algorithm>
#include <utility>

namespace cornelweir::plugins::sidecar {
namespace internal {

constexpr kernel::milliseconds kMaintenancePeriod{50};
// Idle links are probed, so that a dead one is detected before it is needed. This is the rate over
// all links; each link is probed at most once per kMinProbePeriod.
constexpr std::int64_t kProbesPerSecond = 15;
constexpr kernel::microseconds kMinProbePeriod = std::chrono::seconds(1);
// The wait at a service is computed at most once per this period.
constexpr kernel::microseconds kServiceWaitPeriod = std::chrono::milliseconds(50);

}  // namespace internal

peer_set::peer_set(daemon_context& context, upstream_dispatcher& dispatcher)
    : context_(context), dispatcher_(dispatcher), timer_(context.loop) {
  membership::roster_entry self;
  self.daemon = context.settings.sidecar->peers_listen;
  self.failure_domain = context.settings.failure_domain;
  self.service = context.settings.sidecar->service;
  peers_.emplace(self.daemon, std::make_shared<peer>(context, self, &dispatcher));
}

void peer_set::Start() {
  timer_.StartPeriodic(internal::kMaintenancePeriod, [this] {
    const kernel::microseconds period = IdleProbePeriod();
    for (const auto& [endpoint, daemon] : peers_) daemon->Maintain(period);
    for (const auto& daemon : retired_) daemon->Maintain(period);
    std::erase_if(retired_, [](const auto& daemon) { return !daemon->busy(); });
  });
}

kernel::microseconds peer_set::IdleProbePeriod() const {
  const auto links = static_cast<std::int64_t>(peers_.size());
  return std::max(internal::kMinProbePeriod,
                  kernel::microseconds(std::chrono::seconds(links)) / internal::kProbesPerSecond);
}

void peer_set::Stop() {
  timer_.Cancel();
  for (const auto& [endpoint, daemon] : peers_) daemon->Close();
}

void peer_set::Update(const std::map<kernel::endpoint, membership::roster_entry>& roster) {
  const kernel::endpoint self = context_.settings.sidecar->peers_listen;
  for (const auto& [endpoint, entry] : roster) {
    if (endpoint == self) continue;
    const auto found = peers_.find(endpoint);
    if (found != peers_.end()) {
      found->second->Update(entry);
      continue;
    }
    const auto added = peers_.emplace(endpoint, std::make_shared<peer>(context_, entry, nullptr));
    added.first->second->Maintain(IdleProbePeriod());
  }
  for (auto next = peers_.begin(); next != peers_.end();) {
    if (next->first == self || roster.contains(next->first)) {
      ++next;
      continue;
    }
    // A daemon that leaves responds to the requests it has accepted before it closes its links.
    next->second->Retire();
    retired_.push_back(std::move(next->second));
    next = peers_.erase(next);
  }
  const auto in_own_domain = std::count_if(peers_.begin(), peers_.end(), [&](const auto& known) {
    return IsInOwnDomain(*known.second);
  });
  own_domain_share_ = static_cast<double>(in_own_domain) / static_cast<double>(peers_.size());
}

std::shared_ptr<peer> peer_set::Choose(const kernel::service_name& service,
                                       const std::vector<std::shared_ptr<peer>>& excluded,
                                       bool large_response) {
  usable_peers_.clear();
  candidates_.clear();
  for (const auto& [endpoint, daemon] : peers_) {
    if (!daemon->Serves(service)) continue;
    if (std::find(excluded.begin(), excluded.end(), daemon) != excluded.end()) continue;
    usable_peers_.push_back(daemon);
    candidates_.push_back(daemon->Candidate());
    candidates_.back().own_domain = IsInOwnDomain(*daemon);
  }
  routing::domain_preference preference;
  preference.daemon_share = own_domain_share_;
  if (large_response) preference.factor = routing::kLargeResponseDomainFactor;
  const auto chosen = routing::ChoosePeer(candidates_, preference);
  for (std::size_t i = 0; i < candidates_.size(); ++i) {
    usable_peers_[i]->SetCredit(candidates_[i].credit);
  }
  return chosen ? usable_peers_[*chosen] : nullptr;
}

kernel::microseconds peer_set::ServiceWait(const kernel::service_name& service) {
  const kernel::time_point now = context_.clock.Now();
  service_wait& known = service_waits_[service];
  if (now - known.computed_at < internal::kServiceWaitPeriod) return known.wait;
  routing::recent_wait recent;
  for (const auto& [endpoint, daemon] : peers_) {
    if (!daemon->Serves(service)) continue;
    recent.Add(daemon->ReportedWait(), daemon->ReportAge());
  }
  known = {recent.Mean(), now};
  return known.wait;
}

bool peer_set::IsInOwnDomain(const peer& daemon) const {
  return daemon.entry().failure_domain == context_.settings.failure_domain;
}

bool peer_set::HasOther(const kernel::service_name& service,
                        const std::vector<std::shared_ptr<peer>>& excluded) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& known) {
    return known.second->Serves(service) &&
           std::find(excluded.begin(), excluded.end(), known.second) == excluded.end();
  });
}

}  // namespace cornelweir::plugins::sidecar
