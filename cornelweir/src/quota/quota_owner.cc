#include "cornelweir/src/quota/quota_owner.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <iterator>

#include "cornelweir/src/quota/limits.h"

namespace cornelweir::quota {

using seconds = std::chrono::duration<double>;

void quota_owner::Restart(kernel::time_point leader_since) {
  start_ = leader_since + kIssueFence;
  buckets_.clear();
}

bool quota_owner::MayIssue(std::optional<kernel::time_point> confirmed_sent_at,
                           kernel::time_point now) const {
  return confirmed_sent_at && now >= start_ && now - *confirmed_sent_at < kIssueFence;
}

void quota_owner::Refill(bucket& source, const workspace_limit& limit,
                         kernel::time_point now) const {
  // After a change of the limit, the time before it counts with the lower of both rates.
  const kernel::request_rate rate = std::min(source.limit.rate, limit.rate);
  const double added =
      kernel::RequestsPerSecond(rate) * std::max(0.0, seconds(now - source.updated_at).count());
  const double capacity = std::min(source.limit.Capacity(), limit.Capacity());
  source.tokens = std::min(source.tokens + added, capacity);
  source.most_tokens = std::min(source.most_tokens + added, capacity);
  source.unclaimed = std::max(source.unclaimed, std::min(source.unclaimed + added, capacity));
  if (now >= start_ + limits_.window + kMaxTokenLifetime) source.tokens = source.most_tokens;
  source.updated_at = std::max(source.updated_at, now);
  source.limit = limit;
}

token_grant quota_owner::Issue(const token_request& request, const workspace_limit& limit,
                               kernel::time_point now) {
  const double capacity = limit.Capacity();
  // Requests may have waited while there was no owner, for which the bucket would have been filled.
  const double unclaimed =
      capacity + kernel::RequestsPerSecond(limit.rate) * seconds(kBridgedTime).count();
  const auto [found, added] =
      buckets_.try_emplace(request.workspace, bucket{limit, 0.0, capacity, unclaimed, start_, {}});
  bucket& source = found->second;
  Refill(source, limit, now);

  const kernel::request_count wanted =
      std::clamp(request.wanted, kernel::request_count(0), kMaxTokensPerEntry);
  token_grant grant;
  grant.workspace = request.workspace;
  grant.granted =
      std::min(wanted, kernel::request_count(static_cast<std::int64_t>(std::floor(source.tokens))));
  const bool may_exceed = source.most_tokens - source.tokens > 0;
  const auto issued = static_cast<double>(grant.granted.value());
  // Requests that wait are counted once, when they are reported; tokens for the store when issued.
  const kernel::request_count waiting =
      std::clamp(request.waiting, kernel::request_count(0), wanted);
  const kernel::request_count arrived =
      std::clamp(request.arrived, kernel::request_count(0), waiting);
  const double claimed =
      static_cast<double>(arrived.value()) +
      static_cast<double>(std::max(grant.granted, waiting).value() - waiting.value());
  const bool exceeded = claimed > source.unclaimed;
  source.tokens -= issued;
  source.most_tokens -= issued;
  source.unclaimed = std::max(0.0, source.unclaimed - claimed);
  grant.lifetime = limit.TokenLifetime(limits_);
  if (grant.granted < wanted) {
    grant.pending = may_exceed && !exceeded;
    const seconds next_in((1 - source.tokens) / kernel::RequestsPerSecond(limit.rate));
    // Rounded up, so that the token exists when the daemon asks again.
    grant.next_in = std::chrono::ceil<kernel::microseconds>(next_in);
  }
  return grant;
}

void quota_owner::IssueReserve(const reserve_statement& statement, token_grant& grant,
                               kernel::time_point now) {
  const auto found = buckets_.find(grant.workspace);
  if (found == buckets_.end() || statement.demand.value() <= 0) return;
  bucket& source = found->second;
  const double capacity = source.limit.Capacity();
  const double kept = capacity < 2 ? 0 : capacity / 2;
  reserve_ledger::supply available;
  available.max_total = source.limit.MaxReserve(limits_);
  available.spare_tokens = static_cast<std::int64_t>(std::floor(source.tokens - kept));
  available.has_unknown = now < start_ + kReserveLifetime;
  const reserve_ledger::permission allowed = source.reserves.Update(statement, available, now);
  if (!allowed.is_valid) return;
  const auto added = static_cast<double>(allowed.added);
  source.tokens -= added;
  source.most_tokens -= added;
  source.unclaimed = std::max(0.0, source.unclaimed - added);
  grant.reserved = kernel::request_count(allowed.total);
  grant.reserve_lifetime = kReserveLifetime;
}

void quota_owner::DropFullBuckets(kernel::time_point now) {
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    bucket& source = it->second;
    Refill(source, source.limit, now);
    source.reserves.DropExpired(now);
    const bool full = std::min(source.tokens, source.unclaimed) >= source.limit.Capacity();
    it = full && source.reserves.empty() ? buckets_.erase(it) : std::next(it);
  }
}

}  // namespace cornelweir::quota
