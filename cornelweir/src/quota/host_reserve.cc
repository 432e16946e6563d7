#include "cornelweir/src/quota/host_reserve.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "cornelweir/src/quota/limits.h"

namespace cornelweir::quota {

using seconds = std::chrono::duration<double>;

void host_reserve::CountDemand(account& holder, std::int64_t tokens, kernel::time_point now) {
  const seconds elapsed = now - holder.demand_at;
  holder.demand =
      holder.demand * std::exp(-elapsed / seconds(kDemandPeriod)) + static_cast<double>(tokens);
  holder.demand_at = now;
}

void host_reserve::OnPassedOn(const token_grant& grant, kernel::time_point now) {
  if (grant.granted.value() <= 0) return;
  account& holder = accounts_[grant.workspace];
  holder.token_lifetime = grant.lifetime;
  CountDemand(holder, grant.granted.value(), now);
}

void host_reserve::AddStatement(token_request& entry, kernel::nonce request,
                                kernel::time_point now) {
  const auto found = accounts_.find(entry.workspace);
  if (found == accounts_.end() || now - found->second.stated_at < kReservePeriod) return;
  account& holder = found->second;
  const double decayed =
      holder.demand * std::exp(-seconds(now - holder.demand_at) / seconds(kDemandPeriod));
  const double per_second = decayed / seconds(kDemandPeriod).count();
  entry.demand = kernel::request_rate(std::max<std::int64_t>(
      1, static_cast<std::int64_t>(per_second * kernel::kRateUnitsPerRequest)));
  entry.held = kernel::request_count(Available(entry.workspace, now));
  holder.statement = request;
  holder.stated_at = now;
  holder.taken = 0;
}

std::vector<kernel::workspace_id> host_reserve::Overdue(kernel::time_point now) {
  std::vector<kernel::workspace_id> overdue;
  if (now - checked_at_ < kReservePeriod) return overdue;
  checked_at_ = now;
  std::erase_if(accounts_, [&](const auto& entry) {
    return now - entry.second.demand_at >= kReserveIdleTime;
  });
  for (const auto& [workspace, holder] : accounts_) {
    const kernel::microseconds period = holder.taken > 0 ? kReservePeriod : kIdleReservePeriod;
    if (now - holder.stated_at >= period) overdue.push_back(workspace);
  }
  return overdue;
}

void host_reserve::OnGrant(const token_grant& grant, kernel::nonce request,
                           kernel::time_point now) {
  const auto found = accounts_.find(grant.workspace);
  if (found == accounts_.end() || found->second.statement != request ||
      grant.reserve_lifetime == kernel::microseconds::zero()) {
    return;
  }
  account& holder = found->second;
  holder.tokens = std::max<std::int64_t>(0, grant.reserved.value() - holder.taken);
  holder.expires_at =
      holder.stated_at + std::min<kernel::microseconds>(grant.reserve_lifetime, kReserveLifetime);
  if (holder.expires_at <= now) holder.tokens = 0;
}

std::int64_t host_reserve::Available(const kernel::workspace_id& workspace,
                                     kernel::time_point now) const {
  const auto found = accounts_.find(workspace);
  return found != accounts_.end() && found->second.expires_at > now ? found->second.tokens : 0;
}

token_grant host_reserve::Take(const kernel::workspace_id& workspace, std::int64_t wanted,
                               kernel::time_point now) {
  token_grant grant;
  grant.workspace = workspace;
  grant.pending = true;
  grant.next_in = kOwnerSilence;
  const std::int64_t count = std::clamp<std::int64_t>(wanted, 0, Available(workspace, now));
  if (count == 0) return grant;
  account& holder = accounts_[workspace];
  holder.tokens -= count;
  holder.taken += count;
  CountDemand(holder, count, now);
  grant.granted = kernel::request_count(count);
  grant.lifetime = holder.token_lifetime;
  return grant;
}

}  // namespace cornelweir::quota
