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

double quota_owner::TokensAt(const bucket& source, kernel::time_point now) {
  const double elapsed = std::max(0.0, seconds(now - source.updated_at).count());
  return std::min(source.limit.Capacity(),
                  source.tokens + kernel::RequestsPerSecond(source.limit.rate) * elapsed);
}

token_grant quota_owner::Issue(const token_request& request, const workspace_limit& limit,
                               kernel::time_point now) {
  const auto [found, added] = buckets_.try_emplace(request.workspace, bucket{limit, 0.0, start_});
  bucket& source = found->second;
  // After a change of the limit, the time before it counts with the lower of both rates.
  source.limit.rate = std::min(source.limit.rate, limit.rate);
  source.tokens = std::min(TokensAt(source, now), limit.Capacity());
  source.updated_at = std::max(source.updated_at, now);
  source.limit = limit;

  const kernel::request_count wanted =
      std::clamp(request.wanted, kernel::request_count(0), kMaxTokensPerEntry);
  token_grant grant;
  grant.workspace = request.workspace;
  grant.granted =
      std::min(wanted, kernel::request_count(static_cast<std::int64_t>(std::floor(source.tokens))));
  source.tokens -= static_cast<double>(grant.granted.value());
  grant.lifetime = limit.TokenLifetime(limits_);
  if (grant.granted < wanted) {
    const seconds next_in((1 - source.tokens) / kernel::RequestsPerSecond(limit.rate));
    // Rounded up, so that the token exists when the daemon asks again.
    grant.next_in = std::chrono::ceil<kernel::microseconds>(next_in);
  }
  return grant;
}

void quota_owner::DropFullBuckets(kernel::time_point now) {
  std::erase_if(buckets_, [&](const auto& entry) {
    return TokensAt(entry.second, now) >= entry.second.limit.Capacity();
  });
}

}  // namespace cornelweir::quota
