#include "cornelweir/src/admission/admission_controller.h"

#include <algorithm>
#include <iterator>

#include "cornelweir/src/admission/limits.h"

namespace cornelweir::admission {

std::vector<ticket> admission_controller::Configure(const admission_limits& limits,
                                                    kernel::request_count slots,
                                                    kernel::request_count service_share,
                                                    kernel::time_point now) {
  limits_ = limits;
  slots_ = slots;
  service_share_ = service_share;
  std::vector<ticket> admitted = AdmitFromQueue(now);
  while (static_cast<std::int64_t>(queue_.size()) > limits_.queue_length.value()) {
    AddPendingRefusal(NextToDisplace(), outcome::refusal_reason::kQueueFull, now);
  }
  return admitted;
}

admission_result admission_controller::Submit(ticket id, const kernel::workspace_id& workspace,
                                              priority_class priority,
                                              const outcome::deadline& deadline,
                                              kernel::time_point now) {
  const auto refuse = [](outcome::refusal_reason reason) {
    return admission_result{admission_state::kRefused, reason, std::nullopt};
  };
  if (in_progress_.contains(id)) return {admission_state::kAdmitted, std::nullopt, std::nullopt};
  if (queue_.contains(id)) return {admission_state::kQueued, std::nullopt, std::nullopt};
  if (draining_) return refuse(outcome::refusal_reason::kShuttingDown);
  if (deadline.HasPassed(now)) return refuse(outcome::refusal_reason::kDeadlinePassed);
  // No queued request is admitted while a limit is zero.
  if (slots_.value() <= 0 || limits_.upstream_in_flight.value() <= 0) {
    return refuse(outcome::refusal_reason::kNoUpstream);
  }
  if (service_share_.value() <= 0) return refuse(outcome::refusal_reason::kServiceLimit);
  if (limits_.workspace_in_flight.value() <= 0) {
    return refuse(outcome::refusal_reason::kWorkspaceLimit);
  }

  CollectExpired(now);
  workspace_state& state = FindOrAddWorkspace(workspace);
  // This does not overtake a queued request: while there is capacity, every queued request waits
  // for the limit of its own workspace.
  if (HasCapacity(state)) {
    Admit(id, state);
    return {admission_state::kAdmitted, std::nullopt, std::nullopt};
  }
  const outcome::refusal_reason blocking_limit = BlockingLimit(state);
  const kernel::time_point expiry = std::min(now + limits_.queue_wait, deadline.time());
  std::optional<refused_ticket> displaced;
  bool may_queue = expiry > now && limits_.queue_length.value() > 0;
  if (may_queue && static_cast<std::int64_t>(queue_.size()) >= limits_.queue_length.value()) {
    // With a smaller difference, displacing a request would only swap the two workspaces.
    may_queue = (*workspaces_by_queued_.rbegin())->queued >= state.queued + 2;
    if (may_queue) {
      displaced = refused_ticket{NextToDisplace(), outcome::refusal_reason::kQueueFull};
      Dequeue(displaced->id);
    }
  }
  if (!may_queue) {
    UpdateWorkspace(state, [] {});
    return refuse(blocking_limit);
  }
  Enqueue(id,
          queued_request{&state, priority, {deadline.time(), next_arrival_++}, deadline, expiry});
  return {admission_state::kQueued, std::nullopt, displaced};
}

std::vector<ticket> admission_controller::Release(ticket id, kernel::time_point now) {
  const auto found = in_progress_.find(id);
  if (found == in_progress_.end()) return {};
  workspace_state& workspace = *found->second;
  in_progress_.erase(found);
  UpdateWorkspace(workspace, [&] { --workspace.in_progress; });
  return AdmitFromQueue(now);
}

std::vector<refused_ticket> admission_controller::Expire(kernel::time_point now) {
  CollectExpired(now);
  return std::exchange(pending_refusals_, {});
}

std::optional<kernel::time_point> admission_controller::NextExpiry() const {
  if (!pending_refusals_.empty()) return pending_refusals_since_;
  if (by_expiry_.empty()) return std::nullopt;
  return by_expiry_.begin()->first;
}

bool admission_controller::Cancel(ticket id) {
  if (queue_.contains(id)) {
    Dequeue(id);
    return true;
  }
  return std::erase_if(pending_refusals_,
                       [&](const refused_ticket& refused) { return refused.id == id; }) > 0;
}

std::vector<refused_ticket> admission_controller::BeginDrain() {
  draining_ = true;
  std::vector<refused_ticket> refused = std::exchange(pending_refusals_, {});
  while (!by_expiry_.empty()) {
    const ticket id = by_expiry_.begin()->second;
    Dequeue(id);
    refused.push_back({id, outcome::refusal_reason::kShuttingDown});
  }
  return refused;
}

kernel::request_count admission_controller::in_progress() const {
  return kernel::request_count(static_cast<std::int64_t>(in_progress_.size()));
}

kernel::request_count admission_controller::queued() const {
  return kernel::request_count(static_cast<std::int64_t>(queue_.size()));
}

std::int64_t admission_controller::Capacity() const {
  return std::min({limits_.upstream_in_flight.value(), slots_.value(), service_share_.value()});
}

bool admission_controller::HasCapacity(const workspace_state& workspace) const {
  return static_cast<std::int64_t>(in_progress_.size()) < Capacity() &&
         workspace.in_progress < limits_.workspace_in_flight.value();
}

outcome::refusal_reason admission_controller::BlockingLimit(
    const workspace_state& workspace) const {
  if (workspace.in_progress >= limits_.workspace_in_flight.value()) {
    return outcome::refusal_reason::kWorkspaceLimit;
  }
  if (service_share_ < std::min(limits_.upstream_in_flight, slots_)) {
    return outcome::refusal_reason::kServiceLimit;
  }
  return outcome::refusal_reason::kQueueFull;
}

admission_controller::workspace_state& admission_controller::FindOrAddWorkspace(
    const kernel::workspace_id& name) {
  const auto [found, added] = workspaces_.try_emplace(name);
  if (added) {
    found->second.name = name;
    found->second.last_served = ++service_sequence_;
  }
  return found->second;
}

template <class Change>
void admission_controller::UpdateWorkspace(workspace_state& workspace, Change&& change) {
  for (auto& workspaces : workspaces_by_class_) workspaces.erase(&workspace);
  workspaces_by_queued_.erase(&workspace);
  change();
  if (workspace.in_progress == 0 && workspace.queued == 0) {
    const kernel::workspace_id name = workspace.name;
    workspaces_.erase(name);
    return;
  }
  for (std::size_t priority = 0; priority < kPriorityClasses; ++priority) {
    if (!workspace.queues[priority].empty()) workspaces_by_class_[priority].insert(&workspace);
  }
  if (workspace.queued > 0) workspaces_by_queued_.insert(&workspace);
}

void admission_controller::Admit(ticket id, workspace_state& workspace) {
  in_progress_.emplace(id, &workspace);
  UpdateWorkspace(workspace, [&] {
    ++workspace.in_progress;
    workspace.last_served = ++service_sequence_;
  });
}

void admission_controller::Enqueue(ticket id, const queued_request& request) {
  queue_.emplace(id, request);
  by_expiry_.emplace(request.expiry, id);
  UpdateWorkspace(*request.workspace, [&] {
    ++request.workspace->queued;
    request.workspace->queues[static_cast<std::size_t>(request.priority)].emplace(request.position,
                                                                                  id);
  });
}

admission_controller::queued_request admission_controller::Dequeue(ticket id) {
  const auto found = queue_.find(id);
  const queued_request request = found->second;
  queue_.erase(found);
  by_expiry_.erase({request.expiry, id});
  UpdateWorkspace(*request.workspace, [&] {
    --request.workspace->queued;
    request.workspace->queues[static_cast<std::size_t>(request.priority)].erase(
        {request.position, id});
  });
  return request;
}

std::vector<ticket> admission_controller::AdmitFromQueue(kernel::time_point now) {
  CollectExpired(now);
  std::vector<ticket> admitted;
  while (static_cast<std::int64_t>(in_progress_.size()) < Capacity()) {
    const auto next = NextQueued();
    if (!next) break;
    const kernel::workspace_id workspace = queue_.at(*next).workspace->name;
    Dequeue(*next);
    Admit(*next, FindOrAddWorkspace(workspace));
    admitted.push_back(*next);
  }
  return admitted;
}

void admission_controller::CollectExpired(kernel::time_point now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    const ticket id = by_expiry_.begin()->second;
    const bool deadline_passed = queue_.at(id).deadline.HasPassed(now);
    AddPendingRefusal(id,
                      deadline_passed ? outcome::refusal_reason::kDeadlinePassed
                                      : outcome::refusal_reason::kQueueTimeout,
                      now);
  }
}

void admission_controller::AddPendingRefusal(ticket id, outcome::refusal_reason reason,
                                             kernel::time_point now) {
  if (pending_refusals_.empty()) pending_refusals_since_ = now;
  Dequeue(id);
  pending_refusals_.push_back({id, reason});
}

std::optional<ticket> admission_controller::NextQueued() {
  std::optional<std::size_t> highest;
  std::optional<std::size_t> longest_unserved;
  for (std::size_t priority = 0; priority < kPriorityClasses; ++priority) {
    // If the workspace with the fewest requests in progress is at its limit, all workspaces are.
    const auto& workspaces = workspaces_by_class_[priority];
    if (workspaces.empty() ||
        (*workspaces.begin())->in_progress >= limits_.workspace_in_flight.value()) {
      continue;
    }
    if (!highest) {
      highest = priority;
    } else if (!longest_unserved ||
               class_last_served_[priority] < class_last_served_[*longest_unserved]) {
      longest_unserved = priority;
    }
  }
  if (!highest) return std::nullopt;
  const bool serve_lower_class =
      longest_unserved && ++contended_selections_ % kLowerClassInterval == 0;
  const std::size_t chosen = serve_lower_class ? *longest_unserved : *highest;
  class_last_served_[chosen] = ++service_sequence_;
  return (*workspaces_by_class_[chosen].begin())->queues[chosen].begin()->second;
}

ticket admission_controller::NextToDisplace() const {
  const auto& queues = (*workspaces_by_queued_.rbegin())->queues;
  const auto lowest = std::find_if(queues.rbegin(), queues.rend(),
                                   [](const auto& queue) { return !queue.empty(); });
  return std::prev(lowest->end())->second;
}

}  // namespace cornelweir::admission
