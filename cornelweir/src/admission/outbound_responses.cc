#include "cornelweir/src/admission/outbound_responses.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "cornelweir/src/admission/limits.h"
#include "cornelweir/src/admission/transfer_limits.h"

namespace cornelweir::admission {

void outbound_responses::Add(const outbound_response& response) {
  state& added = responses_[response.id];
  added.response = response;
  added.committed = !response.may_be_dropped;
  order_.push_back(response.id);
  unsent_bytes_ += response.bytes;
}

void outbound_responses::SetStalled(transfer_id id, bool stalled) {
  responses_.at(id).stalled = stalled;
}

bool outbound_responses::IsStandingQueue(kernel::time_point now) const {
  return waiting_since_ && now - *waiting_since_ >= kStandingQueueTime;
}

// Whether a late response is not expected to be sent in time.
bool outbound_responses::IsHopeless(const state& late, kernel::time_point complete_at,
                                    kernel::time_point now) const {
  return IsStandingQueue(now) || complete_at > late.response.deadline;
}

// Keeps the longest late response if none is kept, since shorter ones are sent in time more often,
// and commits it once the share of the late ones covers it.
void outbound_responses::SelectLateResponse(const std::vector<planned_transfer>& plan,
                                            const std::vector<transfer_id>& ids) {
  if (!kept_late_) {
    std::size_t longest = 0;
    for (const planned_transfer& next : plan) {
      const state& waiting = responses_.at(ids[next.index]);
      if (!next.late || waiting.committed || waiting.unsent() <= longest) continue;
      longest = waiting.unsent();
      kept_late_ = ids[next.index];
    }
    if (!kept_late_) return;
  }
  state& kept = responses_.at(*kept_late_);
  if (kept.unsent() > late_credit_) return;
  late_credit_ -= kept.unsent();
  kept.committed = true;
  kept_late_.reset();
}

std::vector<transfer_id> outbound_responses::Plan(double bytes_per_second, kernel::time_point now) {
  std::vector<transfer_id> given_up;
  std::vector<transfer_id> ids;
  std::vector<transfer_job> jobs;
  for (const auto& [id, waiting] : responses_) {
    const outbound_response& response = waiting.response;
    if (response.deadline <= now) given_up.push_back(id);
    if (response.deadline <= now || waiting.stalled) continue;
    ids.push_back(id);
    jobs.push_back({waiting.unsent(), waiting.committed ? kMostUrgent : response.priority,
                    response.objective, response.objective, response.deadline, id.value()});
  }
  const std::vector<planned_transfer> plan = PlanTransfers(jobs, bytes_per_second, now);
  if (!responses_.empty() && !waiting_since_) waiting_since_ = now;
  SelectLateResponse(plan, ids);
  order_.clear();
  for (const planned_transfer& next : plan) {
    const transfer_id id = ids[next.index];
    const state& waiting = responses_.at(id);
    const bool hopeless = next.late && !waiting.committed && kept_late_ != id &&
                          IsHopeless(waiting, next.complete_at, now);
    (hopeless ? given_up : order_).push_back(id);
  }
  for (const transfer_id id : given_up) Remove(id);
  counts_ = counts_.At(now);
  counts_.dropped += static_cast<double>(given_up.size());
  return given_up;
}

outbound_responses::decaying_counts outbound_responses::decaying_counts::At(
    kernel::time_point now) const {
  const double decay = std::exp(-std::chrono::duration<double>(now - counted_at) /
                                std::chrono::duration<double>(kDropDecayTime));
  return {sent * decay, dropped * decay, now};
}

bool outbound_responses::MayExceedNetwork(kernel::time_point now) const {
  const decaying_counts recent = counts_.At(now);
  return recent.dropped < kMinDrops + kMaxDropsPerResponse * recent.sent;
}

void outbound_responses::OnSent(transfer_id id, std::size_t bytes, kernel::time_point now) {
  const auto found = responses_.find(id);
  found->second.sent_bytes += bytes;
  found->second.committed = true;
  if (kept_late_ == id) kept_late_.reset();
  unsent_bytes_ -= bytes;
  late_credit_ = std::min(late_credit_ + bytes / kLateByteInterval, kMaxLateCredit);
  if (found->second.unsent() > 0) return;
  Erase(found);
  counts_ = counts_.At(now);
  ++counts_.sent;
}

void outbound_responses::Remove(transfer_id id) {
  const auto found = responses_.find(id);
  if (found != responses_.end()) Erase(found);
}

void outbound_responses::Erase(std::map<transfer_id, state>::iterator ended) {
  unsent_bytes_ -= ended->second.unsent();
  if (kept_late_ == ended->first) kept_late_.reset();
  std::erase(order_, ended->first);
  responses_.erase(ended);
  if (responses_.empty()) waiting_since_.reset();
}

}  // namespace cornelweir::admission
