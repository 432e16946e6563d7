#include "cornelweir/src/quota/reserve_ledger.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "cornelweir/src/quota/limits.h"

namespace cornelweir::quota {

void reserve_ledger::DropExpired(kernel::time_point now) {
  std::erase_if(holdings_, [&](const auto& entry) { return entry.second.expires_at <= now; });
}

reserve_ledger::permission reserve_ledger::Update(const reserve_statement& statement,
                                                  const supply& available, kernel::time_point now) {
  DropExpired(now);
  const auto [found, added] = holdings_.try_emplace(statement.holder);
  holding& own = found->second;
  if (!added && statement.id <= own.statement) return {};
  std::int64_t held =
      std::clamp(statement.held, kernel::request_count(0), kMaxTokensPerEntry).value();
  if (!available.has_unknown) held = std::min(held, own.count);

  own.demand = std::max(0.0, kernel::RequestsPerSecond(statement.demand));
  double total_demand = 0;
  std::int64_t others = 0;
  for (const auto& [holder, other] : holdings_) {
    total_demand += other.demand;
    if (holder != statement.holder) others += other.count;
  }
  // The demand of the bridged time plus two standard deviations, within the host's part of the
  // bound; at least one token, for workspaces with less than one request a second.
  const double expected = own.demand * std::chrono::duration<double>(kBridgedTime).count();
  const double part = total_demand > 0 ? own.demand / total_demand : 1;
  const auto target = static_cast<std::int64_t>(
      std::max(1.0, std::min(std::ceil(expected + 2 * std::sqrt(expected)),
                             std::floor(static_cast<double>(available.max_total) * part))));
  // A small excess is kept, so that a demand that varies costs few tokens. A larger one would be
  // missing at other hosts.
  const std::int64_t kept = std::min(held, target + target / 8 + 1);
  permission result{true, kept, 0};
  if (!available.has_unknown) {
    result.added = std::clamp<std::int64_t>(
        std::min({target - kept, available.max_total - others - held, available.spare_tokens}), 0,
        kMaxTokensPerEntry.value());
    result.total += result.added;
  }
  own.statement = statement.id;
  // Until the next statement, the host may not have received the answer.
  own.count = std::max(held, result.total);
  own.expires_at = now + kReserveLifetime;
  return result;
}

}  // namespace cornelweir::quota
