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
// The wait and the run time at a service are computed at most once per this period.
constexpr kernel::microseconds kServiceTimesPeriod = std::chrono::milliseconds(50);

bool Contains(const std::vector<std::shared_ptr<peer>>& peers,
              const std::shared_ptr<peer>& sought) {
  return std::find(peers.begin(), peers.end(), sought) != peers.end();
}

bool HasFreeSlot(const routing::peer_candidate& candidate) {
  return candidate.reported_requests + candidate.sent_since_report < candidate.slots;
}

}  // namespace internal

peer_set::peer_set(daemon_context& context, upstream_dispatcher& dispatcher, bulk_sender& bulk)
    : context_(context), dispatcher_(dispatcher), bulk_(bulk), timer_(context.loop) {
  membership::roster_entry self;
  self.daemon = context.settings.sidecar->peers_listen;
  self.failure_domain = context.settings.failure_domain;
  self.service = context.settings.sidecar->service;
  peers_.emplace(self.daemon, std::make_shared<peer>(context, self, &dispatcher, bulk));
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
    const auto added =
        peers_.emplace(endpoint, std::make_shared<peer>(context_, entry, nullptr, bulk_));
    added.first->second->OnOpened([this](peer& daemon) { opened_(daemon); });
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

void peer_set::SendToService(const kernel::service_name& service,
                             const protocol::data_message& notice) {
  for (const auto& [endpoint, daemon] : peers_) {
    if (daemon->entry().service == service) daemon->SendNotice(notice);
  }
}

template <class Predicate>
void peer_set::Collect(const peer_query& query, Predicate is_allowed) {
  usable_peers_.clear();
  candidates_.clear();
  for (const auto& [endpoint, daemon] : peers_) {
    if (!daemon->Serves(query.service) || !is_allowed(*daemon)) continue;
    if (internal::Contains(query.excluded, daemon)) continue;
    usable_peers_.push_back(daemon);
    candidates_.push_back(daemon->Candidate(query.route, query.body_bytes));
    candidates_.back().own_domain = IsInOwnDomain(*daemon);
  }
}

std::shared_ptr<peer> peer_set::ChooseCollected(const peer_query& query) {
  routing::domain_preference preference;
  preference.daemon_share = own_domain_share_;
  if (query.large_response || bulk_sender::IsLarge(query.body_bytes)) {
    preference.factor = routing::kLargeBodyDomainFactor;
  }
  const auto chosen = routing::ChoosePeer(candidates_, preference, query.objective_left);
  for (std::size_t i = 0; i < candidates_.size(); ++i) {
    usable_peers_[i]->SetCredit(candidates_[i].credit);
  }
  return chosen ? usable_peers_[*chosen] : nullptr;
}

std::shared_ptr<peer> peer_set::Choose(const peer_query& query) {
  if (const rollout::rollout_record* const record = FindRecord(query.service)) {
    return ChooseByRecord(*record, query);
  }
  Collect(query, [](const peer&) { return true; });
  return ChooseCollected(query);
}

void peer_set::KeepActiveSubset(const rollout::rollout_record& record) {
  std::vector<kernel::endpoint> daemons;
  daemons.reserve(usable_peers_.size());
  for (const auto& daemon : usable_peers_) daemons.push_back(daemon->entry().daemon);
  const std::uint64_t period = rollouts_->SubsetPeriod(record.service, context_.clock.Now());
  std::vector<std::shared_ptr<peer>> active_peers;
  std::vector<routing::peer_candidate> active_candidates;
  for (const std::size_t index : rollout::ActiveSubset(daemons, record.share, period)) {
    active_peers.push_back(usable_peers_[index]);
    active_candidates.push_back(candidates_[index]);
  }
  usable_peers_ = std::move(active_peers);
  candidates_ = std::move(active_candidates);
}

// A request that is sent again goes to a released version if possible, so that the failures of a
// bad version do not raise its share.
std::shared_ptr<peer> peer_set::ChooseByRecord(const rollout::rollout_record& record,
                                               const peer_query& query) {
  using rollout::version_group;
  const version_group selected = query.excluded.empty() ? rollouts_->Select(record.service)
                                 : rollout::Admits(record, version_group::kReleased)
                                     ? version_group::kReleased
                                     : version_group::kTarget;
  const rollout::group_preference preference = rollout::PreferenceOf(record, selected);
  version_group group = preference.first;
  const auto collect = [&] {
    Collect(query, [&](const peer& daemon) {
      return rollout::BelongsTo(record, group, daemon.version());
    });
  };
  collect();
  if (group == version_group::kTarget && preference.second) KeepActiveSubset(record);
  const bool has_free_slot =
      std::any_of(candidates_.begin(), candidates_.end(), &internal::HasFreeSlot);
  // The share of the target is limited by the free slots of its upstreams.
  const bool too_busy = group == version_group::kTarget && !has_free_slot;
  if (preference.second && (candidates_.empty() || too_busy)) {
    group = *preference.second;
    collect();
  }
  std::shared_ptr<peer> chosen = ChooseCollected(query);
  if (chosen != nullptr && rollout::IsRunning(record)) {
    CountRolloutRequest(record.service, group);
  }
  return chosen;
}

void peer_set::CountRolloutRequest(const kernel::service_name& service,
                                   rollout::version_group group) {
  metrics::counter*& known = rollout_counters_[{service, group}];
  if (known == nullptr) {
    known = &context_.metrics.Counter(
        "cornelweir_rollout_requests_total",
        "Requests sent during rollouts by the group of their version",
        {{"service", service.value()},
         {"group", group == rollout::version_group::kTarget ? "target" : "released"}});
  }
  known->Increment();
}

kernel::microseconds peer_set::ServiceWait(const kernel::service_name& service) {
  return ServiceTimes(service).wait;
}

kernel::microseconds peer_set::UsualRunTime(const kernel::service_name& service) {
  return ServiceTimes(service).run_time;
}

const peer_set::service_times& peer_set::ServiceTimes(const kernel::service_name& service) {
  const kernel::time_point now = context_.clock.Now();
  service_times& known = service_times_[service];
  if (now - known.computed_at < internal::kServiceTimesPeriod) return known;
  routing::recent_wait recent;
  kernel::microseconds run_times{};
  std::int64_t reported = 0;
  for (const auto& [endpoint, daemon] : peers_) {
    if (!daemon->Serves(service)) continue;
    recent.Add(daemon->ReportedWait(), daemon->ReportAge());
    const kernel::microseconds run_time = daemon->ReportedRunTime();
    if (run_time == kernel::microseconds::zero()) continue;
    run_times += run_time;
    ++reported;
  }
  known = {recent.Mean(), run_times / std::max<std::int64_t>(1, reported), now};
  return known;
}

bool peer_set::IsInOwnDomain(const peer& daemon) const {
  return daemon.entry().failure_domain == context_.settings.failure_domain;
}

bool peer_set::HasOther(const kernel::service_name& service,
                        const std::vector<std::shared_ptr<peer>>& excluded) const {
  const rollout::rollout_record* const record = FindRecord(service);
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& known) {
    return known.second->Serves(service) &&
           (record == nullptr || rollout::Admits(*record, known.second->version())) &&
           !internal::Contains(excluded, known.second);
  });
}

}  // namespace cornelweir::plugins::sidecar
