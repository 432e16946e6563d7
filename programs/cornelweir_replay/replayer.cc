#include "programs/cornelweir_replay/replayer.h"

#include <algorithm>
#include <iterator>

namespace cornelweir::programs::replay {
namespace {

using codec::json;

constexpr kernel::milliseconds kStep{10};
constexpr kernel::milliseconds kHeartbeatPeriod{500};
// Failures of one trace that are reported.
constexpr std::size_t kMaxFailures = 10;

bool Due(kernel::time_point now, kernel::milliseconds period) {
  return now.time_since_epoch() % period == kernel::microseconds::zero();
}

// Whether every member of expected is in observed with an equal value.
bool Matches(const json& expected, const json& observed) {
  if (!expected.is_object()) return expected == observed;
  if (!observed.is_object()) return false;
  return std::all_of(expected.items().begin(), expected.items().end(), [&](const auto& member) {
    return observed.contains(member.key()) && Matches(member.value(), observed[member.key()]);
  });
}

kernel::host_id HostOf(const process_name& name) { return kernel::host_id(name.value()); }
kernel::endpoint EndpointOf(const process_name& name) { return kernel::endpoint(name.value()); }

}  // namespace

replayer::replayer(const trace& recorded) : trace_(recorded), random_(recorded.seed) {
  for (std::int64_t number = 0; number < trace_.control_hosts; ++number) {
    controls_[process_name("control-" + std::to_string(number))];
  }
  for (const daemon_shape& shape : trace_.daemons) daemons_[shape.name].service = shape.service;
  accepted_[kernel::table_version()];
}

std::vector<std::string> replayer::Run() {
  for (const auto& [name, host] : controls_) {
    StartControl(name, /*disk_lost=*/true, /*bootstrap=*/true);
  }
  for (const auto& [name, at] : daemons_) StartDaemon(name);
  std::int64_t end_ms = 0;
  for (const timed_event& event : trace_.events) end_ms = std::max(end_ms, event.at_ms);
  for (const expected_outcome& outcome : trace_.outcomes) {
    end_ms = std::max(end_ms, outcome.at_ms);
  }
  for (std::int64_t at_ms = 0; at_ms <= end_ms; at_ms += kStep.count()) {
    const auto in_step = [&](std::int64_t when) {
      return when >= at_ms && when < at_ms + kStep.count();
    };
    for (const timed_event& event : trace_.events) {
      if (!in_step(event.at_ms)) continue;
      std::visit([this](const auto& body) { Run(body); }, event.event);
    }
    Step();
    for (const expected_outcome& outcome : trace_.outcomes) {
      if (in_step(outcome.at_ms)) Check(outcome);
    }
    clock_.Advance(kStep);
  }
  return failures_;
}

bool replayer::IsUp(const process_name& process) const {
  if (const auto host = controls_.find(process); host != controls_.end()) {
    return host->second.node.has_value();
  }
  const auto at = daemons_.find(process);
  return at != daemons_.end() && at->second.relay.has_value();
}

bool replayer::CanReach(const process_name& from, const process_name& to) const {
  return IsUp(from) && IsUp(to) && cut_.contains(from) == cut_.contains(to);
}

void replayer::Post(const process_name& from, const process_name& to, std::function<void()> run) {
  const kernel::milliseconds latency(trace_.latency_ms);
  deliveries_.insert(delivery{Now() + latency, next_delivery_++, from, to, std::move(run)});
}

void replayer::Step() {
  while (!deliveries_.empty() && deliveries_.begin()->at <= Now()) {
    const delivery next = deliveries_.extract(deliveries_.begin()).value();
    if (CanReach(next.from, next.to)) next.run();
  }
  for (auto& [name, host] : controls_) {
    if (host.node) TickControl(name, host);
  }
  for (auto& [name, at] : daemons_) {
    if (at.relay) TickDaemon(name, at);
  }
}

// Control hosts.

void replayer::StartControl(const process_name& name, bool disk_lost, bool bootstrap) {
  control_host& host = controls_.at(name);
  if (disk_lost) {
    host.stored = {};
    host.stored.id = kernel::disk_id(next_disk_++);
    host.stored.bootstrap = bootstrap;
  }
  replication::group_configuration group;
  for (const auto& [other, ignored] : controls_) group.voters.push_back(HostOf(other));
  host.node = replication::node_builder()
                  .Self(HostOf(name))
                  .Disk(host.stored.id)
                  .Bootstrap(host.stored.bootstrap)
                  .State(host.stored.state)
                  .Entries(host.stored.entries)
                  .Configuration(group)
                  .Seed(random_.NextU64())
                  .Build();
  host.machine = {};
  host.applied = {};
  host.reads.clear();
  host.questions.clear();
  host.publisher.emplace(kernel::nonce(random_.NextU64()));
}

void replayer::TickControl(const process_name& name, control_host& host) {
  host.node->Tick(Now());
  DrainControl(name, host);
  if (Due(Now(), distribution::kTickInterval)) Dispatch(name, host.publisher->Tick(Now()));
  if (Due(Now(), kHeartbeatPeriod)) {
    Dispatch(name, host.publisher->Heartbeat(host.node->confirmed_round(), Now()));
  }
}

void replayer::DrainControl(const process_name& name, control_host& host) {
  while (host.node->HasReady()) {
    const replication::ready ready = host.node->TakeReady();
    if (ready.state) host.stored.state = *ready.state;
    if (!ready.entries.empty()) {
      const auto kept = ready.entries.front().index.value() - 1;
      host.stored.entries.resize(std::min<std::size_t>(host.stored.entries.size(), kept));
      host.stored.entries.insert(host.stored.entries.end(), ready.entries.begin(),
                                 ready.entries.end());
    }
    host.node->Persisted();
    for (const replication::envelope& message : ready.messages) {
      const process_name to(message.to.value());
      Post(name, to, [this, to, message] {
        controls_.at(to).node->Receive(message, Now());
        DrainControl(to, controls_.at(to));
      });
    }
    for (const replication::log_entry& entry : ready.committed) Apply(name, host, entry);
    for (const replication::read_index_result& read : ready.reads) {
      const auto question = host.questions.extract(read.nonce);
      if (question && read.index) host.reads.emplace_back(*read.index, question.mapped());
    }
  }
  AnswerReads(name, host);
}

void replayer::Apply(const process_name& name, control_host& host,
                     const replication::log_entry& entry) {
  host.applied = entry.index;
  if (entry.kind != replication::entry_kind::kCommand) return;
  const auto record = codec::Decode<control::log_record>(entry.payload.bytes);
  if (!record) {
    Fail("an entry of the log can't be decoded");
    return;
  }
  control::applied_effects effects;
  const control::outcome outcome = host.machine.Apply(entry.index, record.value(), effects);
  if (effects.table_changed) {
    const auto& history = host.machine.history();
    const auto [known, added] = accepted_.emplace(history.newest(), history.rows());
    if (!added && known->second != history.rows()) {
      Fail("two control hosts accepted different tables as version " +
           std::to_string(history.newest().value()));
    }
    Dispatch(name, host.publisher->PublishTable(history.newest(), history.rows(), Now()));
  }
  if (effects.members_changed) {
    Dispatch(name, host.publisher->PublishMembers(host.machine.members(), Now()));
  }
  const auto proposal = proposals_.find({name, entry.index});
  if (proposal == proposals_.end()) return;
  const auto [term, id] = proposal->second;
  proposals_.erase(proposal);
  outcomes_[id] = term == entry.term ? codec::ToJson(outcome) : json{{"type", "lost"}};
}

void replayer::AskProof(const process_name& name, control_host& host, kernel::nonce question) {
  const kernel::nonce request(next_nonce_++);
  host.questions[request] = question;
  host.node->RequestReadIndex(request, Now());
  DrainControl(name, host);
}

void replayer::AnswerReads(const process_name& name, control_host& host) {
  const auto waiting = std::exchange(host.reads, {});
  for (const auto& [index, question] : waiting) {
    if (index > host.applied) {
      host.reads.emplace_back(index, question);
      continue;
    }
    const distribution::proof answer{question, host.machine.history().newest(),
                                     host.machine.members().revision()};
    Dispatch(name, host.publisher->OnProof(answer, Now()));
  }
}

void replayer::Dispatch(const process_name& from, const distribution::subscriber_actions& actions) {
  for (const distribution::outgoing& out : actions.messages) {
    const std::uint64_t id = out.recipient.value();
    const auto found = connections_.find(id);
    if (found == connections_.end()) continue;
    Post(from, found->second.daemon,
         [this, id, message = out.message] { ReceiveDown(id, message); });
  }
  for (const distribution::proof_request& request : actions.proof_requests) {
    AskProof(from, controls_.at(from), request.nonce);
  }
}

// Daemons.

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
  if (!Due(Now(), distribution::kTickInterval)) return;
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

// Events.

void replayer::Run(const command_event& event) {
  const auto found = controls_.find(event.host);
  if (found == controls_.end() || !found->second.node) {
    outcomes_[event.id] = json{{"type", "unavailable"}};
    return;
  }
  control_host& host = found->second;
  const auto now_ms =
      std::chrono::duration_cast<kernel::milliseconds>(Now().time_since_epoch()).count();
  const control::log_record record{now_ms, event.command};
  process_name at = event.host;
  // A host that does not lead passes the command on to the leader that it knows.
  if (!host.node->IsLeader()) {
    const auto leader = host.node->leader();
    if (!leader || !CanReach(at, process_name(leader->value()))) {
      outcomes_[event.id] = json{{"type", "unavailable"}};
      return;
    }
    at = process_name(leader->value());
  }
  control_host& leading = controls_.at(at);
  const auto index = leading.node->Propose(kernel::byte_string{codec::Encode(record)}, Now());
  if (!index) {
    outcomes_[event.id] = json{{"type", "unavailable"}};
    return;
  }
  outcomes_[event.id] = json{{"type", "pending"}};
  proposals_[{at, *index}] = {leading.node->current_term(), event.id};
  DrainControl(at, leading);
}

void replayer::Run(const kill_event& event) { Kill(event.process); }

void replayer::Run(const start_event& event) {
  if (controls_.contains(event.process)) {
    StartControl(event.process, event.disk_lost, /*bootstrap=*/false);
  } else {
    StartDaemon(event.process);
  }
}

void replayer::Run(const cut_event& event) {
  cut_ = {event.processes.begin(), event.processes.end()};
}

void replayer::Run(const heal_event&) { cut_.clear(); }

void replayer::Run(const request_event& event) {
  daemon& at = daemons_.at(event.daemon);
  const auto limit = outcome::deadline::After(kernel::milliseconds(event.timeout_ms), Now());
  const admission::admission_result result =
      at.admission.Submit(admission::ticket(event.ticket), event.workspace,
                          admission::priority_class::kNormal, limit, Now());
  if (result.displaced) at.requests[result.displaced->id.value()] = "refused";
  at.requests[event.ticket] = result.state == admission::admission_state::kAdmitted ? "admitted"
                              : result.state == admission::admission_state::kQueued ? "queued"
                                                                                    : "refused";
}

void replayer::Run(const finish_event& event) {
  daemon& at = daemons_.at(event.daemon);
  if (at.requests[event.ticket] != "admitted") {
    Fail("request " + std::to_string(event.ticket) + " finished but was not in progress");
    return;
  }
  at.requests[event.ticket] = "finished";
  for (const admission::ticket next :
       at.admission.Release(admission::ticket(event.ticket), Now())) {
    at.requests[next.value()] = "admitted";
  }
}

void replayer::Run(const drain_event& event) {
  daemon& at = daemons_.at(event.daemon);
  for (const admission::refused_ticket& refused : at.admission.BeginDrain()) {
    at.requests[refused.id.value()] = "refused";
  }
}

// Checks.

void replayer::Fail(const std::string& text) {
  const auto at_ms =
      std::chrono::duration_cast<kernel::milliseconds>(Now().time_since_epoch()).count();
  if (failures_.size() < kMaxFailures) {
    failures_.push_back("at " + std::to_string(at_ms) + " ms: " + text);
  }
}

void replayer::CheckInvariants(const process_name& name, daemon& at) {
  const distribution::subscriber& held = at.relay->own_subscriber();
  const auto accepted = accepted_.find(held.version());
  if (accepted == accepted_.end()) {
    Fail(name.value() + " holds version " + std::to_string(held.version().value()) +
         ", which was never accepted");
  } else if (held.rows() != table::ScopeOf(accepted->second, at.service)) {
    Fail(name.value() + " does not hold exactly its part of version " +
         std::to_string(held.version().value()));
  }
  if (!table::IsClosed(held.rows())) Fail(name.value() + " holds a dangling reference");
  if (!held.ready()) return;
  if (held.version() < at.highest) {
    Fail(name.value() + " moved back from version " + std::to_string(at.highest.value()) + " to " +
         std::to_string(held.version().value()));
  }
  at.highest = std::max(at.highest, held.version());
}

json replayer::Observe(const expected_outcome& expected) {
  if (expected.kind == "command") {
    const auto found = outcomes_.find(expected.subject);
    return found == outcomes_.end() ? json(nullptr) : found->second;
  }
  const process_name subject(expected.subject);
  if (expected.kind == "leader") {
    const auto host = controls_.find(subject);
    return host != controls_.end() && host->second.node && host->second.node->IsLeader();
  }
  const auto found = daemons_.find(subject);
  if (found == daemons_.end()) return nullptr;
  const daemon& at = found->second;
  if (expected.kind == "request") {
    const auto request = at.requests.find(std::stoull(expected.object));
    return request == at.requests.end() ? json(nullptr) : json(request->second);
  }
  if (!at.relay) return nullptr;
  const distribution::subscriber& held = at.relay->own_subscriber();
  if (expected.kind == "enforced") return held.version().value();
  if (expected.kind == "ready") return held.ready();
  const auto member = held.members().find(kernel::upstream_id(expected.object));
  return member == held.members().end() ? json(nullptr) : codec::ToJson(member->second);
}

void replayer::Check(const expected_outcome& expected) {
  const json observed = Observe(expected);
  if (Matches(expected.value, observed)) return;
  Fail(expected.kind + " of " + expected.subject +
       (expected.object.empty() ? "" : "/" + expected.object) + " is " + observed.dump() +
       ", stated was " + expected.value.dump());
}

}  // namespace cornelweir::programs::replay
