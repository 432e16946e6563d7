#include "cornelweir/src/admission/slot_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
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
                                                kernel::microseconds work_ahead,
                                                kernel::time_point now) const {
  if (slots_ <= 0) return kernel::microseconds::max() / 4;
  const std::int64_t excess = std::max<std::int64_t>(running() + position + 1 - slots_, 0);
  const kernel::microseconds work = running() < slots_
                                        ? MeanRunTime() * excess
                                        : MeanRunTime() * (running() + 1 - slots_) + work_ahead;
  return std::max(work / slots_, starts_.WaitFor(position + 1, now));
}

kernel::microseconds slot_queue::ExpectedWait(kernel::time_point now) const {
  kernel::microseconds work{};
  for (const queued_request& queued : queue_) work += WorkOf(queued.request);
  return ExpectedWaitAt(queued(), work, now);
}

kernel::microseconds slot_queue::WorkOf(const slot_request& request) const {
  return request.run_time.count() > 0 ? request.run_time : MeanRunTime();
}

// Whether the request would most likely miss its deadline even if it ran now.
bool slot_queue::WouldMissDeadline(const slot_request& request, kernel::time_point now) {
  const kernel::microseconds run =
      std::max(request.run_time * kMinRemainingRunTimePercent / 100, request.safe_run_time);
  return request.deadline - now < run + request.transfer_time;
}

// Whether the calls of the request would wait so long that it would miss its deadline.
bool slot_queue::IsHeldBack(const slot_request& request, kernel::time_point now) {
  return request.call_wait.count() > 0 &&
         request.deadline - now < request.run_time + request.call_wait + request.transfer_time;
}

void slot_queue::SetCallWait(const kernel::route_name& route, kernel::microseconds wait) {
  for (queued_request& queued : queue_) {
    if (queued.request.route == route) queued.request.call_wait = wait;
  }
}

// Whether the request may run past its objective. The parent of a nested request already holds a
// slot while it waits, so a nested request may take until its deadline. So may a promoted one that
// no other upstream can serve: at a slow upstream, all requests of its route would miss their
// objectives.
bool slot_queue::MayMissObjective(const slot_request& request, bool promoted) {
  return request.nested ||
         (promoted && !request.has_alternative && request.transfer_time.count() == 0);
}

// When the request has to end so that an early refusal would not serve its caller better.
kernel::time_point slot_queue::LatestEnd(const slot_request& request, bool promoted) {
  return MayMissObjective(request, promoted) ? request.deadline : request.objective;
}

// Whether a request that waits this long would end too late.
bool slot_queue::WouldEndTooLate(const slot_request& request, bool promoted,
                                 kernel::microseconds wait, std::int64_t run_time_percent,
                                 kernel::time_point now) const {
  const kernel::microseconds run =
      request.run_time * run_time_percent / 100 + request.transfer_time;
  return now + wait + run > LatestEnd(request, promoted);
}

// Whether the request would end too late even if it were the next to start.
bool slot_queue::IsHopeless(const slot_request& request, bool promoted,
                            std::int64_t run_time_percent, kernel::time_point now) const {
  return WouldEndTooLate(request, promoted, ExpectedWaitAt(0, kernel::microseconds::zero(), now),
                         run_time_percent, now);
}

// The bound that a hopeless request would miss.
slot_refusal_cause slot_queue::HopelessCause(const slot_request& request, bool promoted) {
  if (request.transfer_time.count() > 0) return slot_refusal_cause::kNetwork;
  return MayMissObjective(request, promoted) ? slot_refusal_cause::kDeadline
                                             : slot_refusal_cause::kObjective;
}

bool slot_queue::IsBelowMinimumShare(const slot_request& request, kernel::time_point now) const {
  return route_shares_.IsBelowMinimum(request.route, now) ||
         (!request.has_alternative && route_ratios_.IsBelowMinimum(request.route, now)) ||
         workspace_shares_.IsBelowMinimum(request.workspace, now);
}

// Whether a late request that goes before all others would end in time.
bool slot_queue::MayPromote(const queued_request& late, kernel::time_point now) const {
  return !late.promoted && IsBelowMinimumShare(late.request, now) &&
         !IsHopeless(late.request, true, kPlannedRunTimePercent, now);
}

// Whether a nested request may wait for the run of another one. That costs the slot of its parent
// for as long, so among requests of the same priority it waits for short runs only.
bool slot_queue::MayDefer(const slot_request& nested, const slot_request& other) const {
  if (nested.priority != other.priority) return nested.priority > other.priority;
  return WorkOf(other) <= WorkOf(nested) * kMaxDeferralWorkFactor;
}

void slot_queue::CountAccepted(const slot_request& request, int change, kernel::time_point now) {
  route_shares_.Add(request.route, WorkOf(request) * change, now);
  workspace_shares_.Add(request.workspace, WorkOf(request) * change, now);
  if (!request.has_alternative) route_ratios_.OnAccepted(request.route, change, now);
}

bool slot_queue::IsBefore(const queued_request& first, const queued_request& second) {
  const auto key = [](const queued_request& queued) {
    return std::tuple(!queued.promoted, queued.request.priority, queued.latest_start,
                      queued.arrival);
  };
  return key(first) < key(second);
}

void slot_queue::Insert(queued_request added) {
  const auto position = std::upper_bound(queue_.begin(), queue_.end(), added, &IsBefore);
  queue_.insert(position, std::move(added));
}

void slot_queue::Reinsert(queue_position changed) {
  queued_request moved = std::move(*changed);
  queue_.erase(changed);
  Insert(std::move(moved));
}

slot_decision slot_queue::Submit(const slot_request& request, kernel::time_point now) {
  using kind = slot_decision::kind;
  slot_request started = request;
  if (request.least_transfer_time.count() > 0) {
    started.transfer_time = request.least_transfer_time;
  }
  if (WouldMissDeadline(started, now)) {
    return {kind::kRefuse, {{request.id, slot_refusal_cause::kDeadline}}};
  }
  if (!request.has_alternative) route_ratios_.OnAsked(request.route, now);
  const auto may_start = [now](const slot_request& waiting) {
    return !WouldMissDeadline(waiting, now) && !IsHeldBack(waiting, now);
  };
  const bool is_next = std::none_of(queue_.begin(), queue_.end(), [&](const queued_request& other) {
    return may_start(other.request);
  });
  if (MayStart(now) && is_next && may_start(started)) {
    if (started.transfer_time.count() > 0 &&
        IsHopeless(started, false, kPlannedRunTimePercent, now)) {
      return {kind::kRefuse, {{request.id, slot_refusal_cause::kNetwork}}};
    }
    CountAccepted(request, 1, now);
    Start(request.id, now);
    return {kind::kRun, {}};
  }
  queued_request added;
  added.request = request;
  added.latest_start = std::min(request.objective, request.deadline) -
                       request.run_time * kPlannedRunTimePercent / 100 - request.transfer_time;
  added.arrival = next_arrival_++;
  Insert(std::move(added));
  // Work counts from the start of the wait, so that the requests of a route or workspace that are
  // queued together do not exceed its minimum share together.
  CountAccepted(request, 1, now);
  slot_decision decision{kind::kQueue, RemoveLateRequests(request.id, now)};
  const bool is_refused =
      std::any_of(decision.refused.begin(), decision.refused.end(),
                  [&](const slot_refusal& refusal) { return refusal.id == request.id; });
  if (is_refused) decision.outcome = kind::kRefuse;
  return decision;
}

// A request that has waited is not refused because the estimate of its wait rose by a little.
slot_queue::queue_position slot_queue::FirstLateRequest(ticket newest, kernel::time_point now) {
  kernel::microseconds work{};
  std::int64_t position = 0;
  return std::find_if(queue_.begin(), queue_.end(), [&](const queued_request& queued) {
    const kernel::microseconds wait = ExpectedWaitAt(position++, work, now);
    work += WorkOf(queued.request);
    const auto is_hopeless = [&](std::int64_t run_time_percent) {
      return IsHopeless(queued.request, queued.promoted, run_time_percent, now);
    };
    if (!WouldEndTooLate(queued.request, queued.promoted, wait, kPlannedRunTimePercent, now)) {
      return false;
    }
    return queued.request.id == newest || is_hopeless(kMeanRunTimePercent) ||
           !is_hopeless(kPlannedRunTimePercent);
  });
}

// Selects the request to refuse so that the late one, or one before it, gains time.
slot_queue::queue_position slot_queue::SelectVictim(queue_position late, kernel::time_point now) {
  // A nested request uses the slot of its parent too, so others of its priority go first.
  const auto cost = [&](const queued_request& queued) {
    return std::tuple(queued.request.priority,
                      workspace_shares_.ExcessLevel(queued.request.workspace, now),
                      !queued.request.nested, WorkOf(queued.request));
  };
  auto victim = late;
  std::optional<decltype(cost(*late))> highest;
  for (auto next = queue_.begin(); next != std::next(late); ++next) {
    if (next->promoted || IsBelowMinimumShare(next->request, now)) continue;
    const auto next_cost = cost(*next);
    if (highest && next_cost < *highest) continue;
    victim = next;
    highest = next_cost;
  }
  return victim;
}

// Refuses queued requests early until those that remain are expected to end in time. Each round
// defers, promotes or removes one request, and each request is deferred and promoted at most once.
std::vector<slot_refusal> slot_queue::RemoveLateRequests(ticket newest, kernel::time_point now) {
  std::vector<slot_refusal> removed;
  const auto remove = [&](queue_position position, slot_refusal_cause cause) {
    CountAccepted(position->request, -1, now);
    removed.push_back({position->request.id, cause});
    queue_.erase(position);
  };
  const auto promote = [&](queue_position position) {
    position->promoted = true;
    Reinsert(position);
  };
  while (true) {
    const auto late = FirstLateRequest(newest, now);
    if (late == queue_.end()) break;
    if (IsHopeless(late->request, late->promoted, kPlannedRunTimePercent, now)) {
      if (MayPromote(*late, now)) {
        promote(late);
      } else {
        remove(late, HopelessCause(late->request, late->promoted));
      }
      continue;
    }
    const auto may_wait = [&](const queued_request& queued) {
      return queued.request.nested && !queued.deferred && !queued.promoted &&
             MayDefer(queued.request, late->request);
    };
    const auto deferrable = std::find_if(queue_.begin(), late, may_wait);
    if (deferrable != late) {
      deferrable->deferred = true;
      deferrable->latest_start =
          std::max(deferrable->latest_start,
                   deferrable->request.deadline -
                       deferrable->request.run_time * kPlannedRunTimePercent / 100);
      Reinsert(deferrable);
      continue;
    }
    if (late != queue_.begin() && MayPromote(*late, now)) {
      promote(late);
      continue;
    }
    remove(SelectVictim(late, now), slot_refusal_cause::kOrder);
  }
  return removed;
}

// Skips requests that are held back, and overdue ones, which Expire() has not removed yet if the
// process was paused.
std::vector<ticket> slot_queue::AdmitQueued(kernel::time_point now) {
  std::vector<ticket> admitted;
  for (auto next = queue_.begin(); MayStart(now) && next != queue_.end();) {
    if (WouldMissDeadline(next->request, now) || IsHeldBack(next->request, now)) {
      ++next;
      continue;
    }
    const ticket id = next->request.id;
    next = queue_.erase(next);
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

bool slot_queue::Cancel(ticket id, kernel::time_point now) {
  const auto cancelled = std::find_if(queue_.begin(), queue_.end(),
                                      [&](const auto& queued) { return queued.request.id == id; });
  if (cancelled == queue_.end()) return false;
  CountAccepted(cancelled->request, -1, now);
  queue_.erase(cancelled);
  return true;
}

std::vector<ticket> slot_queue::Expire(kernel::time_point now) {
  std::vector<ticket> expired;
  std::erase_if(queue_, [&](const queued_request& queued) {
    if (!WouldMissDeadline(queued.request, now)) return false;
    CountAccepted(queued.request, -1, now);
    expired.push_back(queued.request.id);
    return true;
  });
  return expired;
}

std::vector<ticket> slot_queue::Clear() {
  std::vector<ticket> cleared;
  for (const queued_request& queued : queue_) cleared.push_back(queued.request.id);
  queue_.clear();
  return cleared;
}

}  // namespace cornelweir::admission
