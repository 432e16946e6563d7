#include "cornelweir/src/admission/slot_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "cornelweir/src/admission/limits.h"

namespace cornelweir::admission {

kernel::microseconds UpdatedMovingAverage(kernel::microseconds average,
                                          kernel::microseconds sample) {
  return average.count() == 0 ? sample : average + (sample - average) / kMovingAverageDivisor;
}

std::vector<ticket> slot_queue::SetSlots(std::int64_t slots, kernel::time_point now) {
  slots_ = slots;
  return AdmitQueued(now);
}

std::vector<ticket> slot_queue::SetRateLimit(std::optional<kernel::request_rate> rate,
                                             kernel::time_point now) {
  starts_.SetRate(rate, now);
  return AdmitQueued(now);
}

bool slot_queue::MayStart(kernel::time_point now) const {
  return running() < slots_ && starts_.WaitFor(1, now) == kernel::microseconds::zero();
}

void slot_queue::Start(ticket id, kernel::time_point now) {
  running_.insert(id);
  starts_.OnStart(now);
}

kernel::microseconds slot_queue::MeanRunTime() const {
  return run_time_.count() > 0 ? run_time_ : kInitialRunTimeEstimate;
}

std::int64_t slot_queue::UsableSlots() const {
  if (!rate_limit() || slots_ <= 0) return slots_;
  const double concurrent_requests = kernel::RequestsPerSecond(*rate_limit()) *
                                     std::chrono::duration<double>(MeanRunTime()).count();
  return std::clamp(static_cast<std::int64_t>(std::ceil(concurrent_requests)), std::int64_t{1},
                    slots_);
}

kernel::microseconds slot_queue::ExpectedWaitAt(std::int64_t position,
                                                kernel::time_point now) const {
  if (slots_ <= 0) return kernel::microseconds::max() / 4;
  const std::int64_t ahead = std::max<std::int64_t>(running() + position + 1 - slots_, 0);
  return std::max(MeanRunTime() * ahead / slots_, starts_.WaitFor(position + 1, now));
}

kernel::microseconds slot_queue::ExpectedWait(kernel::time_point now) const {
  return ExpectedWaitAt(queued(), now);
}

// Whether the request would most likely miss its deadline even if it ran now.
bool slot_queue::WouldMissDeadline(const slot_request& request, kernel::time_point now) const {
  return request.deadline - now <
         request.run_time * kMinRemainingRunTimePercent / 100 + request.transfer_time;
}

// Whether a request at this position of the queue would end so late that an early refusal serves
// its caller better. The parent of a nested request already holds a slot while it waits, so a
// nested request may take until its deadline.
bool slot_queue::WouldEndTooLate(const slot_request& request, std::int64_t position,
                                 kernel::time_point now) const {
  const kernel::microseconds wait = ExpectedWaitAt(position, now);
  const kernel::microseconds run =
      request.run_time * kPlannedRunTimePercent / 100 + request.transfer_time;
  return now + wait + run > (request.nested ? request.deadline : request.objective);
}

slot_decision slot_queue::Submit(const slot_request& request, kernel::time_point now) {
  using kind = slot_decision::kind;
  if (WouldMissDeadline(request, now)) return {};
  if (queue_.empty() && MayStart(now)) {
    if (request.transfer_time.count() > 0 && WouldEndTooLate(request, 0, now)) return {};
    Start(request.id, now);
    return {kind::kRun, {}};
  }
  const queue_key key{!request.nested, request.priority, request.objective, next_arrival_++};
  const auto ahead = std::distance(queue_.begin(), queue_.lower_bound(key));
  if (WouldEndTooLate(request, ahead, now)) return {};
  queue_.emplace(key, request);
  queue_keys_.emplace(request.id, key);
  return {kind::kQueue, DisplaceLateRequests(now)};
}

// Removes queued requests that would now end too late because a more urgent one was queued before
// them, so that they are refused early.
std::vector<ticket> slot_queue::DisplaceLateRequests(kernel::time_point now) {
  std::vector<ticket> displaced;
  while (!queue_.empty()) {
    const auto last = std::prev(queue_.end());
    if (!WouldEndTooLate(last->second, queued() - 1, now)) break;
    displaced.push_back(last->second.id);
    queue_keys_.erase(last->second.id);
    queue_.erase(last);
  }
  return displaced;
}

// Skips requests that are overdue, which Expire() has not removed yet if the process was paused.
std::vector<ticket> slot_queue::AdmitQueued(kernel::time_point now) {
  std::vector<ticket> admitted;
  for (auto next = queue_.begin(); MayStart(now) && next != queue_.end();) {
    if (WouldMissDeadline(next->second, now)) {
      ++next;
      continue;
    }
    const ticket id = next->second.id;
    next = queue_.erase(next);
    queue_keys_.erase(id);
    Start(id, now);
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
  return AdmitQueued(now);
}

bool slot_queue::Cancel(ticket id) {
  const auto found = queue_keys_.find(id);
  if (found == queue_keys_.end()) return false;
  queue_.erase(found->second);
  queue_keys_.erase(found);
  return true;
}

std::vector<ticket> slot_queue::Expire(kernel::time_point now) {
  std::vector<ticket> expired;
  std::erase_if(queue_, [&](const auto& queued) {
    if (!WouldMissDeadline(queued.second, now)) return false;
    expired.push_back(queued.second.id);
    return true;
  });
  for (const ticket& id : expired) queue_keys_.erase(id);
  return expired;
}

std::vector<ticket> slot_queue::Clear() {
  std::vector<ticket> cleared;
  for (const auto& [key, request] : queue_) cleared.push_back(request.id);
  queue_.clear();
  queue_keys_.clear();
  return cleared;
}

}  // namespace cornelweir::admission
