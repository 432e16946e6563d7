#include <algorithm>

#include "programs/cornelweir_replay/replayer.h"

namespace cornelweir::programs::replay {
namespace {

using codec::json;

constexpr kernel::milliseconds kHeartbeatPeriod{500};
}  // namespace

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
  if (IsDue(distribution::kTickInterval)) Dispatch(name, host.publisher->Tick(Now()));
  if (IsDue(kHeartbeatPeriod)) {
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

}  // namespace cornelweir::programs::replay
