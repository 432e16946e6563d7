#include "cornelweir/src/membership/lease_tracker.h"

#include <algorithm>
#include <cstddef>

#include "cornelweir/src/membership/limits.h"

namespace cornelweir::membership {

void lease_tracker::Restart(const member_table& table, kernel::time_point now) {
  Stop();
  for (const auto& [id, record] : table.members()) Track(record, now);
  last_renewal_ = now;
  last_expire_ = now;
}

void lease_tracker::Stop() {
  leases_.clear();
  by_end_.clear();
  service_sizes_.clear();
  recent_expiries_.clear();
  last_expire_.reset();
}

void lease_tracker::Track(const upstream_record& record, kernel::time_point now) {
  const auto found = leases_.find(record.id);
  if (found != leases_.end() && found->second.incarnation > record.incarnation) return;
  Untrack(record.id);
  lease entry{record.service, record.incarnation, now + kLease, false};
  by_end_.emplace(entry.end, record.id);
  leases_.emplace(record.id, std::move(entry));
  ++service_sizes_[record.service];
}

void lease_tracker::Untrack(const kernel::upstream_id& id) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) return;
  const auto size = service_sizes_.find(found->second.service);
  if (--size->second == 0) {
    recent_expiries_.erase(size->first);
    service_sizes_.erase(size);
  }
  by_end_.erase({found->second.end, id});
  leases_.erase(found);
}

bool lease_tracker::Renew(const kernel::upstream_id& id, kernel::incarnation incarnation,
                          kernel::time_point now) {
  last_renewal_ = std::max(last_renewal_, now);
  const auto found = leases_.find(id);
  if (found == leases_.end() || found->second.incarnation != incarnation) return false;
  found->second.connection_refused = false;
  SetEnd(id, found->second, now + kLease);
  return true;
}

void lease_tracker::OnConnectionRefused(const kernel::upstream_id& id,
                                        kernel::incarnation incarnation) {
  const auto found = leases_.find(id);
  if (found != leases_.end() && found->second.incarnation == incarnation) {
    found->second.connection_refused = true;
  }
}

std::vector<expired_lease> lease_tracker::Expire(kernel::time_point now) {
  std::vector<expired_lease> expired;
  const bool paused = !last_expire_ || now - *last_expire_ > kMaxExpireGap;
  last_expire_ = now;
  if (paused) {
    for (auto& [id, entry] : leases_) SetEnd(id, entry, now + kLease);
    return expired;
  }
  if (now - last_renewal_ > kMaxRenewalGap) return expired;
  std::vector<kernel::upstream_id> due;
  for (const auto& [end, id] : by_end_) {
    if (end > now) break;
    due.push_back(id);
  }
  for (const kernel::upstream_id& id : due) {
    lease& entry = leases_.at(id);
    if (!entry.connection_refused && !ReserveExpiry(entry.service, now)) continue;
    expired.push_back(expired_lease{id, entry.incarnation});
    SetEnd(id, entry, now + kLease);
  }
  return expired;
}

void lease_tracker::SetEnd(const kernel::upstream_id& id, lease& entry, kernel::time_point end) {
  by_end_.erase({entry.end, id});
  entry.end = end;
  by_end_.emplace(end, id);
}

bool lease_tracker::ReserveExpiry(const kernel::service_name& service, kernel::time_point now) {
  std::deque<kernel::time_point>& recent = recent_expiries_[service];
  while (!recent.empty() && now - recent.front() >= kLease) recent.pop_front();
  const std::size_t allowed =
      std::max<std::size_t>(1, service_sizes_[service] / kExpiryShareDivisor);
  if (recent.size() >= allowed) return false;
  recent.push_back(now);
  return true;
}

}  // namespace cornelweir::membership
