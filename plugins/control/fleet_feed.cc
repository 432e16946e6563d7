#include "plugins/control/fleet_feed.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "cornelweir/src/codec/direct_cbor.h"
#include "plugins/control/control_plugin.h"

namespace cornelweir::plugins::control {
namespace internal {

constexpr kernel::milliseconds kTickPeriod{50};
// Interval at which the other control hosts get all entries of the daemons that are connected here.
constexpr kernel::milliseconds kSharePeriod{1'000};
// Number of policies kept as bases of deltas. A daemon with an older policy gets the whole policy.
constexpr std::size_t kRecentPolicies = 8;
// A daemon is sent the quarantined requests at most once in this time. The daemons of a service
// tell each other sooner.
constexpr kernel::milliseconds kQuarantinePeriod{1'000};

// What other control hosts must learn of an upstream without delay.
std::pair<bool, kernel::software_version> UrgentState(const membership::roster_entry& entry) {
  if (!entry.upstream) return {};
  return {entry.upstream->draining, entry.upstream->version};
}

}  // namespace internal

fleet_feed::fleet_feed(control_plugin& owner, loop::event_loop& loop,
                       const loop::pause_tracker& pauses)
    : owner_(owner), timer_(loop), currency_(owner.local_replica(), pauses) {}

void fleet_feed::Start() {
  PublishPolicy();
  timer_.StartPeriodic(internal::kTickPeriod, [this] { Tick(); });
}

void fleet_feed::Stop() {
  timer_.Cancel();
  for (auto& [key, session] : daemons_) session.link->Close("the process is shutting down");
}

void fleet_feed::Add(const std::shared_ptr<transport::link>& link) {
  session new_session;
  new_session.link = link;
  daemons_[link.get()] = std::move(new_session);
}

void fleet_feed::Receive(const transport::link* link, std::string_view payload) {
  const auto found = daemons_.find(link);
  if (found == daemons_.end()) return;
  session& sender = found->second;
  const auto message = codec::Decode<protocol::report_message>(payload);
  if (message && std::holds_alternative<quota::quota_request>(message.value())) {
    owner_.quota().Receive(sender.link, std::get<quota::quota_request>(message.value()));
    return;
  }
  if (message && std::holds_alternative<rollout::rollout_sample>(message.value())) {
    owner_.rollouts().Receive(std::get<rollout::rollout_sample>(message.value()));
    return;
  }
  if (message && std::holds_alternative<protocol::quarantine_report>(message.value())) {
    OnQuarantineReport(std::get<protocol::quarantine_report>(message.value()));
    return;
  }
  const auto* report = message ? std::get_if<protocol::daemon_report>(&message.value()) : nullptr;
  if (report == nullptr) {
    logging::event(logging::event_id::kMessageRefused).With("reason", "malformed");
    sender.link->Close("malformed message");
    return;
  }
  const bool first_report = !sender.known_policy;
  // The policy of a daemon can become older only by a restart, which opens a new link.
  if (first_report || report->enforced_policy > *sender.known_policy) {
    sender.known_policy = report->enforced_policy;
  }
  sender.known_rollouts = std::max(sender.known_rollouts, report->enforced_rollouts);
  sender.superseded_incarnation = roster_.RecordReport(report->self, clock_.Now());
  const bool changed = !sender.entry || !sender.entry->HasSameContentAs(report->self) ||
                       internal::UrgentState(*sender.entry) != internal::UrgentState(report->self);
  sender.entry = report->self;
  if (changed) {
    logging::event(logging::event_id::kDaemonReported)
        .With("daemon", report->self.daemon)
        .With("service", report->self.service)
        .With("leaving", report->self.leaving);
    owner_.ShareRoster({{report->self}});
  }
  if (first_report) ProveCurrent(sender);
  if (first_report || sender.superseded_incarnation != kernel::incarnation()) {
    SendUpdate(sender, true);
  }
}

// The daemon reports it again until it gets a list that contains the request.
void fleet_feed::OnQuarantineReport(const protocol::quarantine_report& report) {
  const auto known = owner_.local_replica().machine().crashes().Quarantined();
  const bool is_known = std::any_of(known.begin(), known.end(), [&](const auto& entry) {
    return entry.request == report.request;
  });
  if (is_known) return;
  logging::event(logging::event_id::kQuarantineReported)
      .With("fingerprint", report.request)
      .With("service", report.service)
      .With("crashes", report.crashes.size())
      .With("last_upstream",
            report.crashes.empty() ? kernel::upstream_id() : report.crashes.back().upstream);
  owner_.Submit(cornelweir::control::quarantine_command{report.request, report.service},
                [](const auto&) {});
}

void fleet_feed::ProveCurrent(session& recipient) {
  if (recipient.proved_current || std::exchange(recipient.proof_pending, true)) return;
  owner_.local_replica().Read([this, weak = std::weak_ptr(recipient.link)](bool is_current) {
    const auto link = weak.lock();
    const auto found = daemons_.find(link.get());
    if (!link || found == daemons_.end()) return;
    found->second.proof_pending = false;
    found->second.proved_current = is_current;
    if (is_current) SendUpdate(found->second, true);
  });
}

void fleet_feed::Receive(const protocol::roster_share& share) {
  for (const membership::roster_entry& entry : share.entries) {
    roster_.RecordReport(entry, clock_.Now());
  }
}

void fleet_feed::PublishPolicy() {
  const auto& current = owner_.local_replica().machine().policy().current();
  recent_policies_[current->version] = current;
  policy_messages_.clear();
  while (recent_policies_.size() > internal::kRecentPolicies) {
    recent_policies_.erase(recent_policies_.begin());
  }
  for (auto& [key, session] : daemons_) SendUpdate(session, false);
}

void fleet_feed::PublishRollouts() {
  for (auto& [key, session] : daemons_) SendUpdate(session, false);
}

void fleet_feed::Tick() {
  const kernel::time_point now = clock_.Now();
  currency_.Update(now);
  roster_.Expire(now);
  if (now - last_shared_at_ >= internal::kSharePeriod) {
    last_shared_at_ = now;
    ShareEntries();
  }
  for (auto& [key, session] : daemons_) {
    if (session.known_policy) {
      ProveCurrent(session);
      SendUpdate(session, now - session.last_sent_at >= protocol::kFleetHeartbeatPeriod);
    }
  }
}

void fleet_feed::ShareEntries() {
  protocol::roster_share share;
  for (const auto& [key, session] : daemons_) {
    if (session.entry) share.entries.push_back(*session.entry);
  }
  if (!share.entries.empty()) owner_.ShareRoster(share);
}

std::vector<kernel::endpoint> fleet_feed::ControlHosts() const {
  std::vector<kernel::endpoint> hosts;
  for (const kernel::host_id& host : owner_.local_replica().node().configuration().voters) {
    hosts.emplace_back(host.value());
  }
  return hosts;
}

const std::vector<std::string>& fleet_feed::PolicyMessagesFor(kernel::policy_version base_version) {
  const auto found = recent_policies_.find(base_version);
  const policy::policy_table empty;
  const policy::policy_table& base = found != recent_policies_.end() ? *found->second : empty;
  const auto [messages, added] = policy_messages_.try_emplace(base.version);
  if (added) {
    const policy::policy_table& newest = *owner_.local_replica().machine().policy().current();
    const std::string delta = codec::Deflate(codec::EncodeDirectly(policy::Diff(base, newest)));
    for (protocol::message_part& part : protocol::SplitIntoParts(delta)) {
      protocol::fleet_update update;
      update.leader_confirmed = true;
      update.newest_policy = newest.version;
      if (part.count == 1) {
        update.policy_delta = std::move(part.bytes);
      } else {
        update.policy_part = std::move(part);
      }
      messages->second.push_back(codec::Encode(protocol::fleet_message{std::move(update)}));
    }
  }
  return messages->second;
}

// Sent before the first policy, since a daemon that has a policy starts to use its upstream.
void fleet_feed::SendLastUpstream(session& recipient) {
  if (std::exchange(recipient.upstream_sent, true)) return;
  const membership::roster_entry* const known = roster_.Find(recipient.entry->daemon);
  if (known == nullptr || !known->upstream) return;
  protocol::fleet_update update;
  update.leader_confirmed = true;
  update.newest_policy = owner_.local_replica().machine().policy().current()->version;
  update.last_upstream = known->upstream;
  recipient.link->Send(codec::Encode(protocol::fleet_message{std::move(update)}));
}

// Sent before the policy, since a daemon that has a policy starts to route. An empty list is sent
// once, since the daemon waits for it.
void fleet_feed::SendQuarantine(session& recipient) {
  if (recipient.quarantine_revision == quarantine_revision_) return;
  const kernel::time_point now = clock_.Now();
  if (recipient.quarantined && now - recipient.quarantine_sent_at < internal::kQuarantinePeriod) {
    return;
  }
  recipient.quarantine_revision = quarantine_revision_;
  auto listed = owner_.local_replica().machine().crashes().Quarantined();
  std::erase_if(listed, [&](const auto& entry) {
    return !entry.service.value().empty() && entry.service != recipient.entry->service;
  });
  if (recipient.quarantined == listed) return;
  recipient.quarantined = listed;
  recipient.quarantine_sent_at = now;
  protocol::fleet_update update;
  update.leader_confirmed = true;
  update.newest_policy = owner_.local_replica().machine().policy().current()->version;
  update.quarantined = std::move(listed);
  recipient.link->Send(codec::Encode(protocol::fleet_message{std::move(update)}));
}

// Sent before the policy, since a daemon that has a policy starts to route.
void fleet_feed::SendRollouts(session& recipient) {
  const auto& rollouts = owner_.local_replica().machine().rollouts();
  if (recipient.known_rollouts >= rollouts.revision()) return;
  protocol::fleet_update update;
  update.leader_confirmed = true;
  update.newest_policy = owner_.local_replica().machine().policy().current()->version;
  update.rollouts = rollouts.ChangedSince(recipient.known_rollouts);
  recipient.known_rollouts = rollouts.revision();
  recipient.link->Send(codec::Encode(protocol::fleet_message{std::move(update)}));
}

// A host that is not current sends no policy, roster or control hosts, as they may be outdated.
void fleet_feed::SendUpdate(session& recipient, bool heartbeat) {
  if (!recipient.known_policy || !recipient.link->is_open()) return;
  protocol::fleet_update update;
  const protocol::currency_report currency =
      currency_.ReportFor(recipient.proved_current, clock_.Now());
  const bool is_current = currency.state == protocol::currency_state::kCurrent;
  update.leader_confirmed = is_current;
  if (!is_current) update.not_current = currency;
  update.newest_policy = owner_.local_replica().machine().policy().current()->version;
  update.superseded_incarnation =
      std::exchange(recipient.superseded_incarnation, kernel::incarnation());
  bool has_changes = update.superseded_incarnation != kernel::incarnation();
  if (is_current) {
    SendLastUpstream(recipient);
    SendQuarantine(recipient);
    SendRollouts(recipient);
    if (*recipient.known_policy < update.newest_policy) {
      for (const std::string& message : PolicyMessagesFor(*recipient.known_policy)) {
        recipient.link->Send(message);
      }
      recipient.known_policy = update.newest_policy;
      recipient.last_sent_at = clock_.Now();
    }
    if (recipient.roster_revision < roster_.revision()) {
      membership::roster_changes changes = roster_.ChangesSince(recipient.roster_revision);
      update.present = std::move(changes.present);
      update.gone = std::move(changes.gone);
      recipient.roster_revision = roster_.revision();
      has_changes = true;
    }
    std::vector<kernel::endpoint> hosts = ControlHosts();
    if (hosts != recipient.control_hosts) {
      recipient.control_hosts = update.control_hosts = std::move(hosts);
      has_changes = true;
    }
  }
  if (!has_changes && !heartbeat) return;
  recipient.last_sent_at = clock_.Now();
  recipient.link->Send(codec::Encode(protocol::fleet_message{std::move(update)}));
}

}  // namespace cornelweir::plugins::control
