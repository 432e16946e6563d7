#include "cornelweir/src/admission/inbound_transfers.h"

#include <algorithm>

#include "cornelweir/src/admission/limits.h"
#include "cornelweir/src/admission/transfer_limits.h"
#include "cornelweir/src/admission/transfer_plan.h"

namespace cornelweir::admission {

bool inbound_transfers::Announce(const transfer_request& request, kernel::time_point now) {
  if (transfers_.size() >= kMaxInboundTransfers || request.bytes == 0) return false;
  const auto [added, is_new] = transfers_.try_emplace(request.id);
  if (!is_new) return false;
  rate_.ForgetIfOld(now);
  added->second.request = request;
  added->second.arrival = next_arrival_++;
  missing_bytes_ += request.bytes;
  for (const planned_body& next : Plan(now)) {
    if (next.planned != &added->second) continue;
    if (MeetsDeadline(*next.planned, next.complete_at) && !(next.late && request.has_alternative)) {
      return true;
    }
  }
  Erase(added);
  return false;
}

bool inbound_transfers::MeetsDeadline(const transfer& body, kernel::time_point complete_at) {
  return std::max(complete_at, body.request.slot_at) +
             body.request.run_time * kMinRemainingRunTimePercent / 100 <=
         body.request.deadline;
}

// The time by which the body has to arrive to meet its objective. A body that would wait for a slot
// for too long anyway is late from the start.
kernel::time_point inbound_transfers::DueTime(const transfer_request& request) {
  const kernel::time_point latest_start =
      request.objective - request.run_time * kPlannedRunTimePercent / 100;
  return request.slot_at <= latest_start ? latest_start : kernel::time_point::min();
}

// Returns all transfers in the order in which they are served.
std::vector<inbound_transfers::planned_body> inbound_transfers::Plan(kernel::time_point now) {
  std::vector<transfer*> bodies;
  std::vector<transfer_job> jobs;
  bodies.reserve(transfers_.size());
  jobs.reserve(transfers_.size());
  for (auto& [id, body] : transfers_) {
    const transfer_request& request = body.request;
    bodies.push_back(&body);
    jobs.push_back({body.missing(), request.priority, request.objective, DueTime(request),
                    request.deadline, body.arrival});
  }
  std::vector<planned_body> plan;
  plan.reserve(jobs.size());
  for (const planned_transfer& next : PlanTransfers(jobs, rate_.bytes_per_second(), now)) {
    plan.push_back({bodies[next.index], next.complete_at, next.late});
  }
  return plan;
}

std::size_t inbound_transfers::CreditWindow() const {
  if (!rate_.known()) return kInitialCreditBytes;
  return std::clamp(rate_.BytesIn(window_.time()), kMinCreditBytes, kMaxCreditBytes);
}

bool inbound_transfers::MayGrant(std::size_t bytes) const {
  const std::size_t window = CreditWindow();
  if (outstanding_ > 0 && outstanding_ + bytes > window) return false;
  return outstanding_bytes() + bytes <= window * kMaxCreditFactor;
}

void inbound_transfers::GrantTo(transfer& body, kernel::time_point now,
                                std::vector<transfer_credit>& credits) {
  while (body.ungranted() > 0) {
    const std::size_t window = CreditWindow();
    const std::size_t bytes = std::min(
        body.ungranted(), std::clamp(window / kGrantsPerCredit, kMinGrantBytes, kMaxGrantBytes));
    if (!MayGrant(bytes)) return;
    if (body.granted == 0) started_bytes_ += body.request.bytes;
    if (body.outstanding() == 0) body.waiting_since = now;
    body.granted += bytes;
    body.grants.push_back({body.granted, bytes, now, outstanding_ >= window / kGrantsPerCredit});
    outstanding_ += bytes;
    credits.push_back({body.request.id, bytes});
  }
}

std::vector<transfer_credit> inbound_transfers::Grant(kernel::time_point now) {
  DetectStalledSenders(now);
  std::vector<transfer_credit> credits;
  if (MayGrant(1)) credits = GrantInOrder(now);
  if (outstanding_ == 0) {
    rate_.OnIdle();
    window_.OnIdle();
  }
  return credits;
}

std::vector<transfer_credit> inbound_transfers::GrantInOrder(kernel::time_point now) {
  std::vector<transfer_credit> credits;
  for (const planned_body& next : Plan(now)) {
    transfer& body = *next.planned;
    if (body.stalled || body.ungranted() == 0) continue;
    const bool exceeds_memory = body.granted == 0 && started_bytes_ > 0 &&
                                started_bytes_ + body.request.bytes > kMaxStartedBodyBytes;
    if (exceeds_memory) continue;
    GrantTo(body, now, credits);
    // What is left of the window is kept for this body, so that larger grants are not starved.
    if (body.ungranted() > 0) break;
  }
  return credits;
}

void inbound_transfers::DetectStalledSenders(kernel::time_point now) {
  const kernel::microseconds stall_time = window_.base_delay() + kStallFactor * window_.time();
  for (auto& [id, body] : transfers_) {
    if (body.stalled || body.outstanding() == 0) continue;
    if (now - body.waiting_since < stall_time) continue;
    body.stalled = true;
    outstanding_ -= body.outstanding();
    stalled_outstanding_ += body.outstanding();
  }
}

transfer_progress inbound_transfers::OnArrived(transfer_id id, std::size_t bytes,
                                               kernel::time_point now) {
  const auto found = transfers_.find(id);
  if (found == transfers_.end()) return transfer_progress::kUnknown;
  transfer& body = found->second;
  if (bytes > body.outstanding()) return transfer_progress::kBeyondCredit;
  if (body.stalled) {
    body.stalled = false;
    stalled_outstanding_ -= body.outstanding();
    outstanding_ += body.outstanding();
  }
  body.waiting_since = now;
  body.arrived += bytes;
  for (; !body.grants.empty() && body.grants.front().end <= body.arrived; body.grants.pop_front()) {
    const grant& arrived = body.grants.front();
    if (arrived.bytes < kMinGrantBytes) continue;
    window_.OnArrived(now - arrived.at, arrived.link_was_busy, now);
  }
  outstanding_ -= bytes;
  missing_bytes_ -= bytes;
  rate_.OnArrived(bytes, missing_bytes_ > 0, now);
  if (body.missing() > 0) return transfer_progress::kPartial;
  Erase(found);
  return transfer_progress::kComplete;
}

void inbound_transfers::Erase(std::map<transfer_id, transfer>::iterator ended) {
  const transfer& body = ended->second;
  missing_bytes_ -= body.missing();
  if (body.granted > 0) started_bytes_ -= body.request.bytes;
  (body.stalled ? stalled_outstanding_ : outstanding_) -= body.outstanding();
  transfers_.erase(ended);
}

void inbound_transfers::Remove(transfer_id id) {
  const auto found = transfers_.find(id);
  if (found != transfers_.end()) Erase(found);
}

std::vector<transfer_id> inbound_transfers::Expire(kernel::time_point now) {
  std::vector<transfer_id> expired;
  std::size_t expired_bytes = 0;
  for (const planned_body& next : Plan(now)) {
    const transfer& body = *next.planned;
    // The bytes of bodies that expire do not delay those behind them.
    const kernel::time_point complete_at = body.granted == 0
                                               ? next.complete_at - rate_.TimeFor(expired_bytes)
                                               : now + rate_.TimeFor(body.missing());
    if (MeetsDeadline(body, complete_at)) continue;
    expired_bytes += body.missing();
    expired.push_back(body.request.id);
  }
  for (const transfer_id id : expired) Remove(id);
  return expired;
}

}  // namespace cornelweir::admission
