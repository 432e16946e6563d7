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
    RefuseLater(LeastEntitled(), outcome::refusal_reason::kQueueFull, now);
  }
  return admitted;
}

admission_result admission_controller::Submit(ticket id, const kernel::tenant_id& tenant,
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
  // Waiting is of no use while a limit is zero.
  if (slots_.value() <= 0 || limits_.upstream_in_flight.value() <= 0) {
    return refuse(outcome::refusal_reason::kNoUpstream);
  }
  if (service_share_.value() <= 0) return refuse(outcome::refusal_reason::kServiceLimit);
  if (limits_.tenant_in_flight.value() <= 0) return refuse(outcome::refusal_reason::kTenantLimit);

  SweepExpired(now);
  tenant_state& state = Tenant(tenant);
  // Nobody in the queue is passed over: while there is room, every queued request waits for its
  // own tenant's limit.
  if (HasRoom(state)) {
    Admit(id, state);
    return {admission_state::kAdmitted, std::nullopt, std::nullopt};
  }
  const outcome::refusal_reason blocked_by = BlockedBy(state);
  const kernel::time_point expiry = std::min(now + limits_.queue_wait, deadline.time());
  std::optional<refused_ticket> displaced;
  bool may_wait = expiry > now && limits_.queue_length.value() > 0;
  if (may_wait && static_cast<std::int64_t>(queue_.size()) >= limits_.queue_length.value()) {
    // With a smaller difference the two tenants would only change places.
    may_wait = (*by_queued_.rbegin())->queued >= state.queued + 2;
    if (may_wait) {
      displaced = refused_ticket{LeastEntitled(), outcome::refusal_reason::kQueueFull};
      Dequeue(displaced->id);
    }
  }
  if (!may_wait) {
    Modify(state, [] {});
    return refuse(blocked_by);
  }
  Enqueue(id, queued_request{&state, priority, {deadline.time(), arrivals_++}, deadline, expiry});
  return {admission_state::kQueued, std::nullopt, displaced};
}

std::vector<ticket> admission_controller::Release(ticket id, kernel::time_point now) {
  const auto found = in_progress_.find(id);
  if (found == in_progress_.end()) return {};
  tenant_state& tenant = *found->second;
  in_progress_.erase(found);
  Modify(tenant, [&] { --tenant.in_progress; });
  return AdmitFromQueue(now);
}

std::vector<refused_ticket> admission_controller::Expire(kernel::time_point now) {
  SweepExpired(now);
  return std::exchange(expired_, {});
}

std::optional<kernel::time_point> admission_controller::NextExpiry() const {
  if (!expired_.empty()) return expired_since_;
  if (by_expiry_.empty()) return std::nullopt;
  return by_expiry_.begin()->first;
}

bool admission_controller::Cancel(ticket id) {
  if (queue_.contains(id)) {
    Dequeue(id);
    return true;
  }
  return std::erase_if(expired_, [&](const refused_ticket& each) { return each.id == id; }) > 0;
}

std::vector<refused_ticket> admission_controller::BeginDrain() {
  draining_ = true;
  std::vector<refused_ticket> refused = std::exchange(expired_, {});
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

bool admission_controller::HasRoom(const tenant_state& tenant) const {
  return static_cast<std::int64_t>(in_progress_.size()) < Capacity() &&
         tenant.in_progress < limits_.tenant_in_flight.value();
}

outcome::refusal_reason admission_controller::BlockedBy(const tenant_state& tenant) const {
  if (tenant.in_progress >= limits_.tenant_in_flight.value()) {
    return outcome::refusal_reason::kTenantLimit;
  }
  if (service_share_ < std::min(limits_.upstream_in_flight, slots_)) {
    return outcome::refusal_reason::kServiceLimit;
  }
  return outcome::refusal_reason::kQueueFull;
}

admission_controller::tenant_state& admission_controller::Tenant(const kernel::tenant_id& name) {
  const auto [found, added] = tenants_.try_emplace(name);
  if (added) {
    found->second.name = name;
    found->second.served = ++stamp_;
  }
  return found->second;
}

template <class Change>
void admission_controller::Modify(tenant_state& tenant, Change&& change) {
  for (auto& waiting : waiting_) waiting.erase(&tenant);
  by_queued_.erase(&tenant);
  change();
  if (tenant.in_progress == 0 && tenant.queued == 0) {
    const kernel::tenant_id name = tenant.name;
    tenants_.erase(name);
    return;
  }
  for (std::size_t priority = 0; priority < kPriorityClasses; ++priority) {
    if (!tenant.queues[priority].empty()) waiting_[priority].insert(&tenant);
  }
  if (tenant.queued > 0) by_queued_.insert(&tenant);
}

void admission_controller::Admit(ticket id, tenant_state& tenant) {
  in_progress_.emplace(id, &tenant);
  Modify(tenant, [&] {
    ++tenant.in_progress;
    tenant.served = ++stamp_;
  });
}

void admission_controller::Enqueue(ticket id, const queued_request& request) {
  queue_.emplace(id, request);
  by_expiry_.emplace(request.expiry, id);
  Modify(*request.tenant, [&] {
    ++request.tenant->queued;
    request.tenant->queues[static_cast<std::size_t>(request.priority)].emplace(request.position,
                                                                               id);
  });
}

admission_controller::queued_request admission_controller::Dequeue(ticket id) {
  const auto found = queue_.find(id);
  const queued_request request = found->second;
  queue_.erase(found);
  by_expiry_.erase({request.expiry, id});
  Modify(*request.tenant, [&] {
    --request.tenant->queued;
    request.tenant->queues[static_cast<std::size_t>(request.priority)].erase(
        {request.position, id});
  });
  return request;
}

std::vector<ticket> admission_controller::AdmitFromQueue(kernel::time_point now) {
  SweepExpired(now);
  std::vector<ticket> admitted;
  while (static_cast<std::int64_t>(in_progress_.size()) < Capacity()) {
    const auto next = Next();
    if (!next) break;
    const kernel::tenant_id tenant = queue_.at(*next).tenant->name;
    Dequeue(*next);
    Admit(*next, Tenant(tenant));
    admitted.push_back(*next);
  }
  return admitted;
}

void admission_controller::SweepExpired(kernel::time_point now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    const ticket id = by_expiry_.begin()->second;
    const bool passed = queue_.at(id).deadline.HasPassed(now);
    RefuseLater(
        id,
        passed ? outcome::refusal_reason::kDeadlinePassed : outcome::refusal_reason::kQueueTimeout,
        now);
  }
}

void admission_controller::RefuseLater(ticket id, outcome::refusal_reason reason,
                                       kernel::time_point now) {
  if (expired_.empty()) expired_since_ = now;
  Dequeue(id);
  expired_.push_back({id, reason});
}

std::optional<ticket> admission_controller::Next() {
  std::optional<std::size_t> highest;
  std::optional<std::size_t> longest_unserved;
  for (std::size_t priority = 0; priority < kPriorityClasses; ++priority) {
    // If the tenant with the fewest requests in progress is at its limit, all of them are.
    const auto& waiting = waiting_[priority];
    if (waiting.empty() || (*waiting.begin())->in_progress >= limits_.tenant_in_flight.value()) {
      continue;
    }
    if (!highest) {
      highest = priority;
    } else if (!longest_unserved || class_served_[priority] < class_served_[*longest_unserved]) {
      longest_unserved = priority;
    }
  }
  if (!highest) return std::nullopt;
  const bool lower_turn = longest_unserved && ++turns_ % kLowerClassTurn == 0;
  const std::size_t chosen = lower_turn ? *longest_unserved : *highest;
  class_served_[chosen] = ++stamp_;
  return (*waiting_[chosen].begin())->queues[chosen].begin()->second;
}

ticket admission_controller::LeastEntitled() const {
  const auto& queues = (*by_queued_.rbegin())->queues;
  const auto lowest = std::find_if(queues.rbegin(), queues.rend(),
                                   [](const auto& queue) { return !queue.empty(); });
  return std::prev(lowest->end())->second;
}

}  // namespace cornelweir::admission
