#include "programs/cornelweir_replay/replayer.h"

namespace cornelweir::programs::replay {

using codec::json;

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

}  // namespace cornelweir::programs::replay
