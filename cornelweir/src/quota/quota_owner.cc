#include "cornelweir/src/quota/quota_owner.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

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
  for (double* level : {&source.tokens, &source.most_tokens, &source.unclaimed}) {
    *level = std::min({*level + added, source.limit.Capacity(), limit.Capacity()});
  }
  if (now >= start_ + limits_.window + kMaxTokenLifetime) source.tokens = source.most_tokens;
  source.updated_at = std::max(source.updated_at, now);
  source.limit = limit;
}

token_grant quota_owner::Issue(const token_request& request, const workspace_limit& limit,
                               kernel::time_point now) {
  const double capacity = limit.Capacity();
  const auto [found, added] =
      buckets_.try_emplace(request.workspace, bucket{limit, 0.0, capacity, capacity, start_});
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

void quota_owner::DropFullBuckets(kernel::time_point now) {
  std::erase_if(buckets_, [&](const auto& entry) {
    bucket source = entry.second;
    Refill(source, source.limit, now);
    return std::min(source.tokens, source.unclaimed) >= source.limit.Capacity();
  });
}

}  // namespace cornelweir::quota
