#include "cornelweir/src/admission/slot_queue.h"

#include <algorithm>
#include <utility>

#include "cornelweir/src/admission/limits.h"

namespace cornelweir::admission {

kernel::microseconds UpdatedMovingAverage(kernel::microseconds mean, kernel::microseconds sample) {
  return mean.count() == 0 ? sample : mean + (sample - mean) / kMovingAverageDivisor;
}

std::vector<ticket> slot_queue::SetSlots(std::int64_t slots, kernel::time_point now) {
  slots_ = slots;
  return Admit(now);
}

kernel::microseconds slot_queue::WaitAt(std::int64_t position) const {
  if (slots_ <= 0) return kernel::microseconds::max() / 4;
  const std::int64_t ahead = running() + position + 1 - slots_;
  if (ahead <= 0) return kernel::microseconds::zero();
  const kernel::microseconds held = run_time_.count() > 0 ? run_time_ : kAssumedRunTime;
  return held * ahead / slots_;
}

kernel::microseconds slot_queue::ExpectedWait() const { return WaitAt(queued()); }

// Even if it ran now, it would most likely not end in time.
bool slot_queue::IsHopeless(const slot_request& request, kernel::time_point now) const {
  return request.deadline - now <
         request.run_time * kLeastRunTimePercent / 100 + request.transfer_time;
}

// Whether a request at this position of the queue would be served so late that its caller is better
// off with an early refusal. What waits for a nested request has its slot already, so that one may
// take until its deadline.
bool slot_queue::IsTooLate(const slot_request& request, std::int64_t position,
                           kernel::time_point now) const {
  const kernel::microseconds wait = WaitAt(position);
  const kernel::microseconds run =
      request.run_time * kPlannedRunTimePercent / 100 + request.transfer_time;
  return now + wait + run > (request.nested ? request.deadline : request.objective);
}

slot_decision slot_queue::Submit(const slot_request& request, kernel::time_point now) {
  using kind = slot_decision::kind;
  if (IsHopeless(request, now)) return {};
  if (running() < slots_ && queue_.empty()) {
    if (request.transfer_time.count() > 0 && IsTooLate(request, 0, now)) return {};
    running_.insert(request.id);
    return {kind::kRun, {}};
  }
  const position at{!request.nested, request.priority, request.objective, arrivals_++};
  const auto ahead = std::distance(queue_.begin(), queue_.lower_bound(at));
  if (IsTooLate(request, ahead, now)) return {};
  queue_.emplace(at, request);
  positions_.emplace(request.id, at);
  return {kind::kQueue, DisplaceLate(now)};
}

// Requests that a more urgent one has pushed back too far are refused now rather than later.
std::vector<ticket> slot_queue::DisplaceLate(kernel::time_point now) {
  std::vector<ticket> displaced;
  while (!queue_.empty()) {
    const auto last = std::prev(queue_.end());
    if (!IsTooLate(last->second, queued() - 1, now)) break;
    displaced.push_back(last->second.id);
    positions_.erase(last->second.id);
    queue_.erase(last);
  }
  return displaced;
}

std::vector<ticket> slot_queue::Admit(kernel::time_point /*now*/) {
  std::vector<ticket> admitted;
  while (running() < slots_ && !queue_.empty()) {
    const ticket id = queue_.begin()->second.id;
    queue_.erase(queue_.begin());
    positions_.erase(id);
    running_.insert(id);
    admitted.push_back(id);
  }
  return admitted;
}

std::vector<ticket> slot_queue::Release(ticket id, std::optional<kernel::microseconds> run_time,
                                        kernel::time_point now) {
  if (running_.erase(id) == 0) return {};
  if (run_time) {
    run_time_ = UpdatedMovingAverage(run_time_, *run_time);
  }
  return Admit(now);
}

bool slot_queue::Cancel(ticket id) {
  const auto found = positions_.find(id);
  if (found == positions_.end()) return false;
  queue_.erase(found->second);
  positions_.erase(found);
  return true;
}

std::vector<ticket> slot_queue::Expire(kernel::time_point now) {
  std::vector<ticket> expired;
  std::erase_if(queue_, [&](const auto& queued) {
    if (!IsHopeless(queued.second, now)) return false;
    expired.push_back(queued.second.id);
    return true;
  });
  for (const ticket& id : expired) positions_.erase(id);
  return expired;
}

std::vector<ticket> slot_queue::Clear() {
  std::vector<ticket> cleared;
  for (const auto& [at, request] : queue_) cleared.push_back(request.id);
  queue_.clear();
  positions_.clear();
  return cleared;
}

}  // namespace cornelweir::admission
