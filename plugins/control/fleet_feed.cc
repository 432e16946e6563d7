#include "plugins/control/fleet_feed.h"

#include <utility>
#include <variant>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "plugins/control/control_plugin.h"

namespace cornelweir::plugins::control {
namespace internal {

constexpr kernel::milliseconds kTickPeriod{50};
// Between two complete lists of the daemons that are connected here to the other control hosts.
constexpr kernel::milliseconds kSharePeriod{1'000};
// Policies kept for deltas. A daemon that is further behind gets the whole policy.
constexpr std::size_t kRecentPolicies = 8;

}  // namespace internal

fleet_feed::fleet_feed(control_plugin& owner, loop::event_loop& loop)
    : owner_(owner), timer_(loop) {}

void fleet_feed::Start() {
  PublishPolicy();
  timer_.StartPeriodic(internal::kTickPeriod, [this] { Tick(); });
}

void fleet_feed::Stop() {
  timer_.Cancel();
  for (auto& [key, session] : daemons_) session.link->Close("the process is shutting down");
}

void fleet_feed::Add(const std::shared_ptr<transport::link>& link) {
  session added;
  added.link = link;
  daemons_[link.get()] = std::move(added);
}

void fleet_feed::Receive(const transport::link* link, std::string_view payload) {
  const auto found = daemons_.find(link);
  if (found == daemons_.end()) return;
  session& from = found->second;
  const auto message = codec::Decode<protocol::report_message>(payload);
  const auto* report = message ? std::get_if<protocol::daemon_report>(&message.value()) : nullptr;
  if (report == nullptr) {
    logging::event(logging::event_id::kMessageRefused).With("reason", "malformed");
    from.link->Close("malformed message");
    return;
  }
  const bool first = !from.held;
  // A daemon may fall back only by a restart, and that comes with a new link.
  if (first || report->enforced_policy > *from.held) from.held = report->enforced_policy;
  from.needed = roster_.RecordReport(report->self, clock_.Now());
  const bool changed = !from.entry || !from.entry->HasSameContentAs(report->self);
  from.entry = report->self;
  if (changed) {
    logging::event(logging::event_id::kDaemonReported)
        .With("daemon", report->self.daemon)
        .With("service", report->self.service)
        .With("leaving", report->self.leaving);
    owner_.ShareRoster({{report->self}});
  }
  if (first || from.needed != kernel::incarnation()) Update(from, true);
}

void fleet_feed::Receive(const protocol::roster_share& shared) {
  for (const membership::roster_entry& entry : shared.entries) {
    roster_.RecordReport(entry, clock_.Now());
  }
}

void fleet_feed::PublishPolicy() {
  const auto& current = owner_.local().machine().policy().current();
  recent_[current->version] = current;
  policy_messages_.clear();
  while (recent_.size() > internal::kRecentPolicies) recent_.erase(recent_.begin());
  for (auto& [key, session] : daemons_) Update(session, false);
}

void fleet_feed::ObserveRounds() {
  const kernel::time_point now = clock_.Now();
  const kernel::heartbeat_round confirmed = owner_.local().node().confirmed_round();
  if (confirmed != round_) {
    round_ = confirmed;
    round_at_ = now;
  }
  const bool applied =
      owner_.local().applied_index() >= owner_.local().node().commit_index() &&
      owner_.local().machine().policy().current()->version != kernel::policy_version();
  current_ = applied && round_ != kernel::heartbeat_round() &&
             now - round_at_ < protocol::kMaxConfirmationAge;
}

void fleet_feed::Tick() {
  ObserveRounds();
  const kernel::time_point now = clock_.Now();
  roster_.Expire(now);
  if (now - shared_at_ >= internal::kSharePeriod) {
    shared_at_ = now;
    Share();
  }
  for (auto& [key, session] : daemons_) {
    if (session.held) Update(session, now - session.sent_at >= protocol::kFleetHeartbeatPeriod);
  }
}

void fleet_feed::Share() {
  protocol::roster_share shared;
  for (const auto& [key, session] : daemons_) {
    if (session.entry) shared.entries.push_back(*session.entry);
  }
  if (!shared.entries.empty()) owner_.ShareRoster(shared);
}

std::vector<kernel::endpoint> fleet_feed::ControlHosts() const {
  std::vector<kernel::endpoint> hosts;
  for (const kernel::host_id& host : owner_.local().node().configuration().voters) {
    hosts.emplace_back(host.value());
  }
  return hosts;
}

const std::string& fleet_feed::PolicyMessageFor(kernel::policy_version held) {
  const auto known = recent_.find(held);
  const policy::policy_table none;
  const policy::policy_table& base = known != recent_.end() ? *known->second : none;
  const auto [message, added] = policy_messages_.try_emplace(base.version);
  if (added) {
    const policy::policy_table& newest = *owner_.local().machine().policy().current();
    protocol::fleet_update update;
    update.leader_confirmed = true;
    update.newest_policy = newest.version;
    update.policy_delta.bytes = codec::Deflate(codec::Encode(policy::Diff(base, newest)));
    message->second = codec::Encode(protocol::fleet_message{std::move(update)});
  }
  return message->second;
}

// A host that is not current says so and sends nothing else: what it has may be outdated.
void fleet_feed::Update(session& to, bool heartbeat) {
  if (!to.held || !to.link->is_open()) return;
  protocol::fleet_update update;
  update.leader_confirmed = current_;
  update.newest_policy = owner_.local().machine().policy().current()->version;
  update.superseded_incarnation = std::exchange(to.needed, kernel::incarnation());
  bool news = update.superseded_incarnation != kernel::incarnation();
  if (current_) {
    if (*to.held < update.newest_policy) {
      to.link->Send(PolicyMessageFor(*to.held));
      to.held = update.newest_policy;
      to.sent_at = clock_.Now();
    }
    if (to.roster_revision < roster_.revision()) {
      membership::roster_changes changes = roster_.ChangesSince(to.roster_revision);
      update.present = std::move(changes.present);
      update.gone = std::move(changes.gone);
      to.roster_revision = roster_.revision();
      news = true;
    }
    std::vector<kernel::endpoint> hosts = ControlHosts();
    if (hosts != to.control_hosts) {
      to.control_hosts = update.control_hosts = std::move(hosts);
      news = true;
    }
  }
  if (!news && !heartbeat) return;
  to.sent_at = clock_.Now();
  to.link->Send(codec::Encode(protocol::fleet_message{std::move(update)}));
}

}  // namespace cornelweir::plugins::control
