#include "plugins/control/daemon_gateway.h"

#include <utility>
#include <variant>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "plugins/control/control_plugin.h"

namespace cornelweir::plugins::control {
namespace internal {

namespace state = cornelweir::control;

// The commands that daemons may submit: they concern upstreams and requests. Operators' commands
// are taken by the operators' interface only, so that a daemon's key can't accept a version.
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
    Dispatch(publisher_.Heartbeat(owner_.local_replica().node().confirmed_round(), clock_.Now()));
  });
}

void daemon_gateway::Stop() {
  tick_timer_.Cancel();
  heartbeat_timer_.Cancel();
}

void daemon_gateway::Add(const std::shared_ptr<transport::link>& link,
                         const protocol::hello& greeting) {
  const distribution::subscriber_id id(next_id_++);
  session& new_session = sessions_[link.get()];
  new_session.link = link;
  new_session.id = id;
  new_session.host = greeting.host;
  links_by_id_[id] = link.get();
  Send(new_session,
       protocol::quarantine_update{owner_.local_replica().machine().crashes().Quarantined()});
}

void daemon_gateway::Remove(const transport::link* link) {
  const auto found = sessions_.find(link);
  if (found == sessions_.end()) return;
  const distribution::subscriber_id id = found->second.id;
  links_by_id_.erase(id);
  sessions_.erase(found);
  Dispatch(publisher_.OnDisconnect(id, clock_.Now()));
}

void daemon_gateway::Receive(const transport::link* link, const protocol::daemon_message& message) {
  const auto found = sessions_.find(link);
  if (found == sessions_.end()) return;
  std::visit([&](const auto& body) { HandleMessage(found->second, body); }, message);
}

void daemon_gateway::HandleMessage(session& sender, const protocol::hello&) {
  sender.link->Close("a second greeting on one link");
}

void daemon_gateway::HandleMessage(session& sender, const distribution::subscribe& message) {
  Dispatch(publisher_.OnSubscribe(sender.id, message, clock_.Now(), random_));
}

void daemon_gateway::HandleMessage(session& sender, const distribution::applied& message) {
  Dispatch(publisher_.OnApplied(sender.id, message, clock_.Now()));
}

void daemon_gateway::HandleMessage(session& sender, const distribution::proof_query& message) {
  Dispatch(publisher_.OnProofQuery(sender.id, message, clock_.Now()));
}

void daemon_gateway::HandleMessage(session& sender, const protocol::submit& message) {
  if (!internal::IsDaemonCommand(message.command)) {
    logging::event(logging::event_id::kMessageRefused)
        .With("host", sender.host)
        .With("reason", "a daemon may not submit this command");
    Send(sender, protocol::submit_reply{message.id, cornelweir::control::refused_outcome{
                                                        "a daemon may not submit this command"}});
    return;
  }
  if (sender.submissions >= protocol::kMaxSubmissionsInFlight) {
    Send(sender, protocol::submit_reply{message.id, std::nullopt});
    return;
  }
  ++sender.submissions;
  owner_.Submit(message.command, [this, link = sender.link.get(), link_owner = sender.link,
                                  id = message.id](const auto& outcome) {
    const auto found = sessions_.find(link);
    if (found == sessions_.end()) return;
    --found->second.submissions;
    Send(found->second, protocol::submit_reply{id, outcome});
  });
}

void daemon_gateway::HandleMessage(session&, const protocol::renew& message) {
  owner_.Renew(message);
}

void daemon_gateway::HandleMessage(session& sender, const protocol::proxy_status& message) {
  sender.status = message;
}

void daemon_gateway::PublishTable() {
  const auto& history = owner_.local_replica().machine().history();
  Dispatch(publisher_.PublishTable(history.newest(), history.rows(), clock_.Now()));
}

void daemon_gateway::PublishMembers() {
  Dispatch(publisher_.PublishMembers(owner_.local_replica().machine().members(), clock_.Now()));
}

void daemon_gateway::PublishQuarantine() {
  const protocol::quarantine_update update{
      owner_.local_replica().machine().crashes().Quarantined()};
  for (const auto& [link, session] : sessions_) Send(session, update);
}

void daemon_gateway::Dispatch(const distribution::subscriber_actions& actions) {
  for (const distribution::outgoing& outgoing : actions.messages) {
    const auto found = links_by_id_.find(outgoing.recipient);
    if (found == links_by_id_.end()) continue;
    std::visit([&](const auto& body) { Send(sessions_.at(found->second), body); },
               outgoing.message);
  }
  for (const distribution::proof_request& request : actions.proof_requests) {
    RequestProof(request.nonce);
  }
}

// If the read fails, the proof request stays open and the publisher repeats it.
void daemon_gateway::RequestProof(kernel::nonce nonce) {
  owner_.local_replica().Read([this, nonce](bool is_current) {
    if (!is_current) return;
    const auto& machine = owner_.local_replica().machine();
    const distribution::proof proof{nonce, machine.history().newest(),
                                    machine.members().revision()};
    Dispatch(publisher_.OnProof(proof, clock_.Now()));
  });
}

void daemon_gateway::Send(const session& recipient, const protocol::publisher_message& message) {
  recipient.link->Send(codec::Encode(message));
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
