#include "programs/cornelweir_replay/replayer.h"

namespace cornelweir::programs::replay {

void replayer::StartDaemon(const process_name& name) {
  daemon& at = daemons_.at(name);
  std::vector<kernel::endpoint> hosts;
  for (const auto& [host, ignored] : controls_) hosts.push_back(EndpointOf(host));
  at.relay.emplace(distribution::subscriber_builder()
                       .Service(at.service)
                       .Host(HostOf(name))
                       .ControlEndpoint(EndpointOf(name))
                       .Nonce(kernel::nonce(random_.NextU64()))
                       .Build(),
                   kernel::nonce(random_.NextU64()));
  at.policy.emplace(std::move(hosts), kernel::seeded_random(random_.NextU64()));
  at.admission = {};
  at.requests.clear();
  at.connection = 0;
  at.connect_at = Now();
  const distribution::next_publisher next = at.policy->Next();
  at.publisher = process_name(next.endpoint.value());
}

void replayer::Kill(const process_name& name) {
  if (const auto host = controls_.find(name); host != controls_.end()) {
    host->second.node.reset();
  } else {
    daemons_.at(name).relay.reset();
    daemons_.at(name).connection = 0;
  }
  std::vector<std::uint64_t> broken;
  for (const auto& [id, link] : connections_) {
    if (link.daemon == name || link.publisher == name) broken.push_back(id);
  }
  for (const std::uint64_t id : broken) Disconnect(id);
}

void replayer::TickDaemon(const process_name& name, daemon& at) {
  if (at.connection == 0 && at.connect_at <= Now()) Connect(name, at);
  if (!IsDue(distribution::kTickInterval)) return;
  if (at.connection != 0 && at.relay->HasHeartbeatTimedOut(Now())) Disconnect(at.connection);
  Handle(name, at.relay->Tick(Now()));
  for (const admission::refused_ticket& refused : at.admission.Expire(Now())) {
    at.requests[refused.id.value()] = "refused";
  }
}

void replayer::Connect(const process_name& name, daemon& at) {
  if (!CanReach(name, at.publisher)) {
    at.policy->OnFailure();
    const distribution::next_publisher next = at.policy->Next();
    at.publisher = process_name(next.endpoint.value());
    at.connect_at = Now() + next.delay;
    return;
  }
  at.connection = next_connection_++;
  connections_[at.connection] = connection{name, at.publisher};
  SendUp(name, at.relay->Subscribe(Now(), at.policy->failed_relays()));
}

void replayer::Disconnect(std::uint64_t id) {
  const auto found = connections_.extract(id);
  if (!found) return;
  const connection link = found.mapped();
  const distribution::subscriber_id subscriber(id);
  if (const auto host = controls_.find(link.publisher); host != controls_.end()) {
    if (host->second.node) host->second.publisher->OnDisconnect(subscriber, Now());
  } else if (daemon& parent = daemons_.at(link.publisher); parent.relay) {
    Handle(link.publisher, parent.relay->OnDisconnect(subscriber, Now()));
  }
  daemon& at = daemons_.at(link.daemon);
  if (!at.relay || at.connection != id) return;
  at.connection = 0;
  at.policy->OnFailure();
  const distribution::next_publisher next = at.policy->Next();
  at.publisher = process_name(next.endpoint.value());
  at.connect_at = Now() + next.delay;
}

void replayer::SendUp(const process_name& name, const distribution::subscriber_message& message) {
  const daemon& at = daemons_.at(name);
  if (at.connection == 0) return;
  Post(name, at.publisher, [this, id = at.connection, message] { ReceiveUp(id, message); });
}

void replayer::ReceiveUp(std::uint64_t id, const distribution::subscriber_message& message) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const process_name to = found->second.publisher;
  const distribution::subscriber_id subscriber(id);
  const auto host = controls_.find(to);
  if (host == controls_.end()) {
    Handle(to, daemons_.at(to).relay->OnChildMessage(subscriber, message, Now(), random_));
    return;
  }
  distribution::publisher& publisher = *host->second.publisher;
  if (const auto* request = std::get_if<distribution::subscribe>(&message)) {
    Dispatch(to, publisher.OnSubscribe(subscriber, *request, Now(), random_));
  } else if (const auto* query = std::get_if<distribution::proof_query>(&message)) {
    Dispatch(to, publisher.OnProofQuery(subscriber, *query, Now()));
  } else {
    Dispatch(to, publisher.OnApplied(subscriber, std::get<distribution::applied>(message), Now()));
  }
}

void replayer::ReceiveDown(std::uint64_t id, const distribution::publisher_message& message) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const process_name name = found->second.daemon;
  daemon& at = daemons_.at(name);
  if (!at.relay || at.connection != id) return;
  const distribution::relay_result result = at.relay->OnPublisherMessage(message, Now());
  if (result.changes.new_round) at.policy->OnHealthy();
  Handle(name, result);
  if (!result.changes.redirection) return;
  at.policy->OnRedirect(*result.changes.redirection);
  at.connection = 0;
  connections_.erase(id);
  const distribution::next_publisher next = at.policy->Next();
  at.publisher = process_name(next.endpoint.value());
  at.connect_at = Now() + next.delay;
}

void replayer::Handle(const process_name& name, const distribution::relay_result& result) {
  daemon& at = daemons_.at(name);
  for (const distribution::subscriber_message& message : result.to_publisher) SendUp(name, message);
  for (const distribution::outgoing& out : result.to_children) {
    const std::uint64_t id = out.recipient.value();
    const auto found = connections_.find(id);
    if (found == connections_.end()) continue;
    Post(name, found->second.daemon,
         [this, id, message = out.message] { ReceiveDown(id, message); });
  }
  CheckInvariants(name, at);
  if (result.changes.version_changed || result.changes.members_changed) ConfigureAdmission(at);
}

// The daemon's whole share is used here, since a trace has one daemon for each upstream limit.
void replayer::ConfigureAdmission(daemon& at) {
  const table::row_map& rows = at.relay->own_subscriber().rows();
  const auto* service = table::FindRow<table::service_row>(rows, table::KeyOf(at.service));
  if (service == nullptr) return;
  const auto* limit = table::FindRow<table::limit_row>(rows, table::KeyOf(service->limit));
  const auto* wait = table::FindRow<table::wait_row>(rows, table::KeyOf(service->wait));
  if (limit == nullptr || wait == nullptr) return;
  const auto admitted =
      at.admission.Configure(admission::admission_limits::From(*limit, *wait),
                             limit->upstream_in_flight, limit->service_in_flight, Now());
  for (const admission::ticket ticket : admitted) at.requests[ticket.value()] = "admitted";
}

}  // namespace cornelweir::programs::replay
