#include "plugins/control/daemon_gateway.h"

#include <utility>
#include <variant>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "plugins/control/control_plugin.h"

namespace cornelweir::plugins::control {
namespace internal {

namespace state = cornelweir::control;

// Daemons report about upstreams and requests. Operators' commands come by the operators'
// interface only, so that a daemon's key can't accept a version.
template <class Command>
concept daemon_command =
    std::same_as<Command, state::announce_command> || std::same_as<Command, state::leave_command> ||
    std::same_as<Command, state::claim_command> || std::same_as<Command, state::complete_command> ||
    std::same_as<Command, state::release_command> || std::same_as<Command, state::crash_command>;

bool IsDaemonCommand(const state::command& command) {
  return std::visit([]<class Command>(const Command&) { return daemon_command<Command>; }, command);
}

}  // namespace internal

daemon_gateway::daemon_gateway(control_plugin& owner, loop::event_loop& loop,
                               kernel::seeded_random& random)
    : owner_(owner),
      random_(random),
      tick_timer_(loop),
      heartbeat_timer_(loop),
      publisher_(kernel::nonce(random.NextU64())) {}

void daemon_gateway::Start() {
  tick_timer_.StartPeriodic(distribution::kTickInterval,
                            [this] { Dispatch(publisher_.Tick(clock_.Now())); });
  heartbeat_timer_.StartPeriodic(protocol::kHeartbeatPeriod, [this] {
    Dispatch(publisher_.Heartbeat(owner_.local().node().confirmed_round(), clock_.Now()));
  });
}

void daemon_gateway::Stop() {
  tick_timer_.Cancel();
  heartbeat_timer_.Cancel();
}

void daemon_gateway::Add(const std::shared_ptr<transport::link>& link,
                         const protocol::hello& greeting) {
  const distribution::subscriber_id id(next_id_++);
  session& added = sessions_[link.get()];
  added.link = link;
  added.id = id;
  added.host = greeting.host;
  by_id_[id] = link.get();
  Send(added, protocol::quarantine_update{owner_.local().machine().crashes().Quarantined()});
}

void daemon_gateway::Remove(const transport::link* link) {
  const auto found = sessions_.find(link);
  if (found == sessions_.end()) return;
  const distribution::subscriber_id id = found->second.id;
  by_id_.erase(id);
  sessions_.erase(found);
  Dispatch(publisher_.OnDisconnect(id, clock_.Now()));
}

void daemon_gateway::Receive(const transport::link* link, const protocol::daemon_message& message) {
  const auto found = sessions_.find(link);
  if (found == sessions_.end()) return;
  std::visit([&](const auto& body) { On(found->second, body); }, message);
}

void daemon_gateway::On(session& from, const protocol::hello&) {
  from.link->Close("a second greeting on one link");
}

void daemon_gateway::On(session& from, const distribution::subscribe& message) {
  Dispatch(publisher_.OnSubscribe(from.id, message, clock_.Now(), random_));
}

void daemon_gateway::On(session& from, const distribution::applied& message) {
  Dispatch(publisher_.OnApplied(from.id, message, clock_.Now()));
}

void daemon_gateway::On(session& from, const distribution::proof_query& message) {
  Dispatch(publisher_.OnProofQuery(from.id, message, clock_.Now()));
}

void daemon_gateway::On(session& from, const protocol::submit& message) {
  if (!internal::IsDaemonCommand(message.command)) {
    logging::event(logging::event_id::kMessageRefused)
        .With("host", from.host)
        .With("reason", "a daemon may not submit this command");
    Send(from, protocol::submit_reply{message.id, cornelweir::control::refused_outcome{
                                                      "a daemon may not submit this command"}});
    return;
  }
  if (from.submissions >= protocol::kMaxSubmissionsInFlight) {
    Send(from, protocol::submit_reply{message.id, std::nullopt});
    return;
  }
  ++from.submissions;
  owner_.Submit(message.command, [this, link = from.link.get(), guard = from.link,
                                  id = message.id](const auto& outcome) {
    const auto found = sessions_.find(link);
    if (found == sessions_.end()) return;
    --found->second.submissions;
    Send(found->second, protocol::submit_reply{id, outcome});
  });
}

void daemon_gateway::On(session&, const protocol::renew& message) { owner_.Renew(message); }

void daemon_gateway::On(session& from, const protocol::proxy_status& message) {
  from.status = message;
}

void daemon_gateway::PublishTable() {
  const auto& history = owner_.local().machine().history();
  Dispatch(publisher_.PublishTable(history.newest(), history.rows(), clock_.Now()));
}

void daemon_gateway::PublishMembers() {
  Dispatch(publisher_.PublishMembers(owner_.local().machine().members(), clock_.Now()));
}

void daemon_gateway::PublishQuarantine() {
  const protocol::quarantine_update list{owner_.local().machine().crashes().Quarantined()};
  for (const auto& [link, session] : sessions_) Send(session, list);
}

void daemon_gateway::Dispatch(const distribution::subscriber_actions& actions) {
  for (const distribution::outgoing& out : actions.messages) {
    const auto found = by_id_.find(out.recipient);
    if (found == by_id_.end()) continue;
    std::visit([&](const auto& body) { Send(sessions_.at(found->second), body); }, out.message);
  }
  for (const distribution::proof_request& request : actions.proof_requests) {
    Prove(request.nonce);
  }
}

// An unproved question stays open; the publisher asks it again.
void daemon_gateway::Prove(kernel::nonce question) {
  owner_.local().Read([this, question](bool proved) {
    if (!proved) return;
    const auto& machine = owner_.local().machine();
    const distribution::proof answer{question, machine.history().newest(),
                                     machine.members().revision()};
    Dispatch(publisher_.OnProof(answer, clock_.Now()));
  });
}

void daemon_gateway::Send(const session& to, const protocol::publisher_message& message) {
  to.link->Send(codec::Encode(message));
}

std::vector<protocol::proxy_status> daemon_gateway::Proxies() const {
  std::vector<protocol::proxy_status> proxies;
  for (const auto& [link, session] : sessions_) {
    if (!session.status.host.value().empty()) proxies.push_back(session.status);
  }
  return proxies;
}

std::uint64_t daemon_gateway::bytes_sent() const {
  std::uint64_t total = 0;
  for (const auto& [link, session] : sessions_) total += link->bytes_sent();
  return total;
}

}  // namespace cornelweir::plugins::control
