#include "cornelweir/src/quota/quota_store.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <utility>

#include "cornelweir/src/quota/limits.h"

namespace cornelweir::quota {

using seconds = std::chrono::duration<double>;

std::int64_t quota_store::ValidTokens(account& holder, kernel::time_point now) {
  std::erase_if(holder.tokens, [&](const token_batch& batch) { return batch.expires_at <= now; });
  std::int64_t count = 0;
  for (const token_batch& batch : holder.tokens) count += batch.count;
  return count;
}

// The demand of the next part of a second, less its standard deviation: tokens that expire unused
// are missing at other daemons, so a daemon with little demand stores none.
std::int64_t quota_store::StoredTarget(const account& holder, kernel::time_point now) {
  if (now < holder.store_again_at) return 0;
  const seconds horizon = std::min<seconds>(kStoredDemand, holder.lifetime / 2);
  const double expected = holder.demand * horizon.count() / seconds(kDemandPeriod).count();
  return static_cast<std::int64_t>(std::max(0.0, std::floor(expected - std::sqrt(expected))));
}

void quota_store::AddTokens(account& holder, std::int64_t count, kernel::time_point expires_at) {
  const auto position =
      std::find_if(holder.tokens.begin(), holder.tokens.end(),
                   [&](const token_batch& batch) { return batch.expires_at >= expires_at; });
  if (position != holder.tokens.end() && position->expires_at == expires_at) {
    position->count += count;
  } else {
    holder.tokens.insert(position, token_batch{expires_at, count});
  }
}

quota_store::decision quota_store::Decide(account& holder, kernel::time_point now) {
  if (ValidTokens(holder, now) > 0) {
    token_batch& first = holder.tokens.front();
    const kernel::time_point expires_at = first.expires_at;
    if (--first.count == 0) holder.tokens.erase(holder.tokens.begin());
    return {verdict::kAdmitted, expires_at, {}};
  }
  if (holder.refused_until && now < *holder.refused_until) {
    return {verdict::kRefused, {}, std::max(holder.next_token_at, *holder.refused_until) - now};
  }
  return {verdict::kWaiting, {}, {}};
}

void quota_store::MarkUnsatisfied(const kernel::workspace_id& workspace, account& holder) {
  if (!std::exchange(holder.unsatisfied, true)) unsatisfied_.push_back(workspace);
}

quota_store::decision quota_store::Take(const kernel::workspace_id& workspace,
                                        kernel::time_point now) {
  account& holder = accounts_[workspace];
  const seconds elapsed = now - holder.demand_at;
  holder.demand = holder.demand * std::exp(-elapsed / seconds(kDemandPeriod)) + 1;
  holder.demand_at = now;
  const decision decided = Decide(holder, now);
  if (decided.outcome == verdict::kWaiting) {
    ++holder.waiting;
    ++holder.arrived;
  }
  if (decided.outcome == verdict::kWaiting ||
      ValidTokens(holder, now) < StoredTarget(holder, now)) {
    MarkUnsatisfied(workspace, holder);
  }
  return decided;
}

quota_store::decision quota_store::Retry(const kernel::workspace_id& workspace,
                                         kernel::time_point now) {
  account& holder = accounts_[workspace];
  const decision decided = Decide(holder, now);
  if (decided.outcome != verdict::kWaiting) --holder.waiting;
  return decided;
}

void quota_store::Abandon(const kernel::workspace_id& workspace) {
  const auto found = accounts_.find(workspace);
  if (found != accounts_.end() && found->second.waiting > 0) --found->second.waiting;
}

void quota_store::Return(const kernel::workspace_id& workspace, kernel::time_point expires_at,
                         kernel::time_point now) {
  if (expires_at > now) AddTokens(accounts_[workspace], 1, expires_at);
}

std::optional<quota_request> quota_store::NextRequest(kernel::time_point now) {
  const bool refill_due = !last_refill_at_ || now - *last_refill_at_ >= kRefillPeriod;
  quota_request request;
  std::vector<kernel::workspace_id> later;
  for (kernel::workspace_id& workspace : unsatisfied_) {
    account& holder = accounts_[workspace];
    if (now < holder.ask_again_at) {
      later.push_back(std::move(workspace));
      continue;
    }
    const std::int64_t unassigned = holder.requested - holder.waiting;
    const std::int64_t missing_for_waiting = std::max<std::int64_t>(0, -unassigned);
    const std::int64_t missing_in_store =
        std::max<std::int64_t>(0, StoredTarget(holder, now) - ValidTokens(holder, now) -
                                      std::max<std::int64_t>(0, unassigned));
    const std::int64_t wanted = missing_for_waiting + (refill_due ? missing_in_store : 0);
    if (request.entries.size() >= kMaxRequestEntries || (wanted == 0 && missing_in_store > 0)) {
      later.push_back(std::move(workspace));
      continue;
    }
    holder.unsatisfied = false;
    if (wanted == 0) continue;
    holder.requested += wanted;
    if (refill_due && missing_in_store > 0) last_refill_at_ = now;
    const std::int64_t arrived = std::min(std::exchange(holder.arrived, 0), missing_for_waiting);
    request.entries.push_back({std::move(workspace), kernel::request_count(wanted),
                               kernel::request_count(missing_for_waiting),
                               kernel::request_count(arrived)});
  }
  unsatisfied_ = std::move(later);
  if (request.entries.empty()) return std::nullopt;
  request.nonce = next_nonce_;
  next_nonce_ = Next(next_nonce_);
  sent_[request.nonce] = sent_request{now, request.entries};
  ++awaited_requests_;
  return request;
}

void quota_store::EndRequest(const sent_request& request) {
  --awaited_requests_;
  for (const token_request& entry : request.entries) {
    const auto found = accounts_.find(entry.workspace);
    if (found == accounts_.end()) continue;
    account& holder = found->second;
    holder.requested -= entry.wanted.value();
    if (holder.waiting > holder.requested) MarkUnsatisfied(entry.workspace, holder);
  }
}

void quota_store::OnGrant(const quota_grant& grant, kernel::time_point now) {
  const auto found = sent_.find(grant.nonce);
  if (found == sent_.end()) return;
  const sent_request request = std::move(found->second);
  sent_.erase(found);
  for (const token_grant& entry : grant.entries) {
    const auto holder = accounts_.find(entry.workspace);
    const auto asked = std::find_if(
        request.entries.begin(), request.entries.end(),
        [&](const token_request& candidate) { return candidate.workspace == entry.workspace; });
    if (holder == accounts_.end() || asked == request.entries.end()) continue;
    account& receiver = holder->second;
    receiver.lifetime = entry.lifetime;
    const kernel::time_point expires_at = request.sent_at + entry.lifetime;
    const kernel::request_count granted = std::min(entry.granted, asked->wanted);
    if (granted.value() > 0 && expires_at > now) {
      AddTokens(receiver, granted.value(), expires_at);
    }
    if (granted >= asked->wanted) continue;
    const kernel::time_point next_at =
        now + std::min<kernel::microseconds>(entry.next_in, kMaxLocalRefusal);
    receiver.store_again_at = next_at + kRefillPauseAfterRefusal;
    if (entry.pending) {
      receiver.ask_again_at = std::max(next_at, now + kMinPendingDelay);
    } else {
      receiver.next_token_at = now + entry.next_in;
      receiver.refused_until = std::max(next_at, now + kMinLocalRefusal);
    }
  }
  if (!request.overdue) EndRequest(request);
}

void quota_store::OnDisconnected() {
  const auto lost = std::exchange(sent_, {});
  for (const auto& [nonce, request] : lost) {
    if (!request.overdue) EndRequest(request);
  }
}

void quota_store::Tick(kernel::time_point now) {
  for (auto it = sent_.begin(); it != sent_.end();) {
    sent_request& request = it->second;
    if (now - request.sent_at < kGrantTimeout) break;
    if (!std::exchange(request.overdue, true)) EndRequest(request);
    it = now - request.sent_at >= kMaxTokenLifetime ? sent_.erase(it) : std::next(it);
  }
  if (now - last_sweep_at_ >= kIdleTime) ForgetIdle(now);
}

void quota_store::ForgetIdle(kernel::time_point now) {
  last_sweep_at_ = now;
  std::erase_if(accounts_, [&](const auto& entry) {
    const account& holder = entry.second;
    return holder.waiting == 0 && holder.requested == 0 && !holder.unsatisfied &&
           now - holder.demand_at >= kIdleTime;
  });
}

}  // namespace cornelweir::quota
