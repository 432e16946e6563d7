#include "cornelweir/src/admission/admission_controller.h"

#include <algorithm>
#include <iterator>

#include "cornelweir/src/admission/limits.h"

namespace cornelweir::admission {

std::int64_t admission_controller::Capacity() const {
  return std::min({limits_.upstream_in_flight.value(), slots_.value(), service_share_.value()});
}

std::vector<ticket> admission_controller::Configure(const admission_limits& limits,
                                                    kernel::request_count slots,
                                                    kernel::request_count service_share,
                                                    kernel::time_point now) {
  limits_ = limits;
  slots_ = slots;
  service_share_ = service_share;
  return AdmitFromQueue(now);
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
  if (deadline.Passed(now)) return refuse(outcome::refusal_reason::kDeadlinePassed);
  // Waiting is of no use while a limit is zero.
  if (slots_.value() <= 0 || limits_.upstream_in_flight.value() <= 0) {
    return refuse(outcome::refusal_reason::kNoUpstream);
  }
  if (service_share_.value() <= 0) return refuse(outcome::refusal_reason::kServiceLimit);
  if (limits_.tenant_in_flight.value() <= 0) return refuse(outcome::refusal_reason::kTenantLimit);

  const auto known = tenants_.find(tenant);
  const std::int64_t tenant_in_progress = known == tenants_.end() ? 0 : known->second.in_progress;
  if (static_cast<std::int64_t>(in_progress_.size()) < Capacity() &&
      tenant_in_progress < limits_.tenant_in_flight.value()) {
    Admit(id, tenant);
    return {admission_state::kAdmitted, std::nullopt, std::nullopt};
  }
  const kernel::time_point expiry = std::min(now + limits_.queue_wait, deadline.at());
  if (expiry <= now || limits_.queue_length.value() <= 0) return refuse(BlockedBy(tenant));
  std::optional<refused_ticket> displaced;
  if (static_cast<std::int64_t>(queue_.size()) >= limits_.queue_length.value()) {
    const auto victim = Displaceable(tenant);
    if (!victim) return refuse(BlockedBy(tenant));
    ForgetIfIdle(Dequeue(*victim).tenant);
    displaced = refused_ticket{*victim, outcome::refusal_reason::kQueueFull};
  }
  Enqueue(id, queued_request{tenant, priority, {deadline.at(), arrivals_++}, deadline, expiry});
  return {admission_state::kQueued, std::nullopt, displaced};
}

std::vector<ticket> admission_controller::Release(ticket id, kernel::time_point now) {
  const auto found = in_progress_.find(id);
  if (found == in_progress_.end()) return {};
  const kernel::tenant_id tenant = found->second;
  in_progress_.erase(found);
  --tenants_[tenant].in_progress;
  ForgetIfIdle(tenant);
  return AdmitFromQueue(now);
}

std::vector<refused_ticket> admission_controller::Expire(kernel::time_point now) {
  std::vector<refused_ticket> refused;
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    const ticket id = by_expiry_.begin()->second;
    const queued_request request = Dequeue(id);
    ForgetIfIdle(request.tenant);
    refused.push_back({id, request.deadline.Passed(now) ? outcome::refusal_reason::kDeadlinePassed
                                                        : outcome::refusal_reason::kQueueTimeout});
  }
  return refused;
}

std::optional<kernel::time_point> admission_controller::NextExpiry() const {
  if (by_expiry_.empty()) return std::nullopt;
  return by_expiry_.begin()->first;
}

bool admission_controller::Cancel(ticket id) {
  if (!queue_.contains(id)) return false;
  ForgetIfIdle(Dequeue(id).tenant);
  return true;
}

std::vector<refused_ticket> admission_controller::BeginDrain() {
  draining_ = true;
  std::vector<refused_ticket> refused;
  refused.reserve(by_expiry_.size());
  for (const auto& [expiry, id] : by_expiry_) {
    refused.push_back({id, outcome::refusal_reason::kShuttingDown});
  }
  for (const refused_ticket& each : refused) ForgetIfIdle(Dequeue(each.id).tenant);
  return refused;
}

kernel::request_count admission_controller::in_progress() const {
  return kernel::request_count(static_cast<std::int64_t>(in_progress_.size()));
}

kernel::request_count admission_controller::queued() const {
  return kernel::request_count(static_cast<std::int64_t>(queue_.size()));
}

void admission_controller::Admit(ticket id, const kernel::tenant_id& tenant) {
  in_progress_.emplace(id, tenant);
  tenant_state& state = tenants_[tenant];
  ++state.in_progress;
  state.served = ++admissions_;
}

void admission_controller::Enqueue(ticket id, queued_request request) {
  tenant_state& state = tenants_[request.tenant];
  ++state.queued;
  state.queues[static_cast<std::size_t>(request.priority)].emplace(request.position, id);
  by_expiry_.emplace(request.expiry, id);
  queue_.emplace(id, std::move(request));
}

admission_controller::queued_request admission_controller::Dequeue(ticket id) {
  const auto found = queue_.find(id);
  queued_request request = std::move(found->second);
  queue_.erase(found);
  by_expiry_.erase({request.expiry, id});
  tenant_state& state = tenants_[request.tenant];
  --state.queued;
  state.queues[static_cast<std::size_t>(request.priority)].erase({request.position, id});
  return request;
}

void admission_controller::ForgetIfIdle(const kernel::tenant_id& tenant) {
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end()) return;
  if (found->second.in_progress == 0 && found->second.queued == 0) tenants_.erase(found);
}

std::vector<ticket> admission_controller::AdmitFromQueue(kernel::time_point now) {
  std::vector<ticket> admitted;
  while (static_cast<std::int64_t>(in_progress_.size()) < Capacity()) {
    const auto next = Next(now);
    if (!next) break;
    Admit(*next, Dequeue(*next).tenant);
    admitted.push_back(*next);
  }
  return admitted;
}

std::optional<ticket> admission_controller::Next(kernel::time_point now) {
  std::array<std::optional<ticket>, kPriorityClasses> next;
  std::optional<std::size_t> highest;
  std::optional<std::size_t> longest_unserved;
  for (std::size_t priority = 0; priority < kPriorityClasses; ++priority) {
    next[priority] = NextOf(priority, now);
    if (!next[priority]) continue;
    if (!highest) {
      highest = priority;
    } else if (!longest_unserved || class_served_[priority] < class_served_[*longest_unserved]) {
      longest_unserved = priority;
    }
  }
  if (!highest) return std::nullopt;
  const bool lower_turn = longest_unserved && ++turns_ % kLowerClassTurn == 0;
  const std::size_t chosen = lower_turn ? *longest_unserved : *highest;
  class_served_[chosen] = admissions_ + 1;
  return next[chosen];
}

std::optional<ticket> admission_controller::NextOf(std::size_t priority,
                                                   kernel::time_point now) const {
  const tenant_state* best = nullptr;
  std::optional<ticket> chosen;
  for (const auto& [name, state] : tenants_) {
    if (state.in_progress >= limits_.tenant_in_flight.value()) continue;
    if (best != nullptr &&
        std::pair(best->in_progress, best->served) <= std::pair(state.in_progress, state.served)) {
      continue;
    }
    for (const auto& [position, id] : state.queues[priority]) {
      if (queue_.at(id).expiry <= now) continue;
      best = &state;
      chosen = id;
      break;
    }
  }
  return chosen;
}

std::optional<ticket> admission_controller::Displaceable(const kernel::tenant_id& newcomer) const {
  const auto own = tenants_.find(newcomer);
  const std::int64_t own_queued = own == tenants_.end() ? 0 : own->second.queued;
  const tenant_state* largest = nullptr;
  for (const auto& [name, state] : tenants_) {
    if (largest == nullptr || state.queued > largest->queued) largest = &state;
  }
  // With a smaller difference the two tenants would only change places.
  if (largest == nullptr || largest->queued < own_queued + 2) return std::nullopt;
  for (auto queue = largest->queues.rbegin(); queue != largest->queues.rend(); ++queue) {
    if (!queue->empty()) return std::prev(queue->end())->second;
  }
  return std::nullopt;
}

outcome::refusal_reason admission_controller::BlockedBy(const kernel::tenant_id& tenant) const {
  const auto known = tenants_.find(tenant);
  if (known != tenants_.end() && known->second.in_progress >= limits_.tenant_in_flight.value()) {
    return outcome::refusal_reason::kTenantLimit;
  }
  if (service_share_ < std::min(limits_.upstream_in_flight, slots_)) {
    return outcome::refusal_reason::kServiceLimit;
  }
  return outcome::refusal_reason::kQueueFull;
}

}  // namespace cornelweir::admission
