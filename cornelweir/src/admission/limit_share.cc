#include "cornelweir/src/admission/limit_share.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <utility>

#include "cornelweir/src/admission/limits.h"

namespace cornelweir::admission {

std::vector<kernel::request_count> DivideLimit(kernel::request_count limit,
                                               const std::vector<share_member>& members) {
  std::int64_t total_slots = 0;
  for (const share_member& member : members) {
    total_slots += std::max<std::int64_t>(member.slots.value(), 0);
  }
  std::vector<kernel::request_count> shares(members.size());
  const std::int64_t divisible = std::max<std::int64_t>(limit.value(), 0);
  if (total_slots == 0) return shares;
  struct remainder {
    std::int64_t value;
    std::size_t index;
  };
  std::vector<remainder> remainders;
  std::int64_t unassigned = divisible;
  for (std::size_t index = 0; index < members.size(); ++index) {
    const std::int64_t member_slots = std::max<std::int64_t>(members[index].slots.value(), 0);
    shares[index] = kernel::request_count(divisible * member_slots / total_slots);
    unassigned -= shares[index].value();
    if (member_slots > 0) remainders.push_back({divisible * member_slots % total_slots, index});
  }
  std::sort(remainders.begin(), remainders.end(), [&](const remainder& a, const remainder& b) {
    if (a.value != b.value) return a.value > b.value;
    return members[a.index].id < members[b.index].id;
  });
  for (std::size_t i = 0; i < static_cast<std::size_t>(unassigned); ++i) {
    kernel::request_count& share = shares[remainders[i].index];
    share = kernel::Next(share);
  }
  return shares;
}

kernel::request_count limit_share::ShareIn(const std::vector<share_member>& members) const {
  const auto shares = DivideLimit(limit_, members);
  for (std::size_t index = 0; index < members.size(); ++index) {
    if (members[index].id == self_) return shares[index];
  }
  return {};
}

bool limit_share::HasRecentContact(kernel::time_point now) const {
  return last_contact_ && now - *last_contact_ < lease_;
}

void limit_share::OnContact(kernel::time_point now) {
  if (!HasRecentContact(now) && !memberships_.empty()) {
    // Other daemons may have joined during the outage, so memberships that still limit the share
    // do so for another lease time.
    for (membership& entry : memberships_) {
      if (entry.replaced_at && last_contact_ && *entry.replaced_at + lease_ > *last_contact_) {
        entry.replaced_at = now;
      }
    }
  }
  last_contact_ = now;
}

void limit_share::Update(kernel::request_count limit, std::vector<share_member> members,
                         kernel::time_point now) {
  OnContact(now);
  if (limit != limit_) {
    limit_ = limit;
    for (membership& entry : memberships_) entry.share = ShareIn(entry.members);
  }
  while (!memberships_.empty() && memberships_.front().replaced_at &&
         *memberships_.front().replaced_at + lease_ <= now) {
    memberships_.pop_front();
  }
  // Before the first membership the share of the daemon is zero.
  if (memberships_.empty()) memberships_.push_back({{}, kernel::request_count(0), std::nullopt});
  membership& latest = memberships_.back();
  if (latest.members == members) return;
  latest.replaced_at = now;
  const kernel::request_count share = ShareIn(members);
  memberships_.push_back({std::move(members), share, std::nullopt});
  if (memberships_.size() > kMaxRememberedMemberships) {
    // The current share is the minimum, so the largest share has no effect while smaller ones are
    // kept.
    memberships_.erase(std::max_element(
        memberships_.begin(), std::prev(memberships_.end()),
        [](const membership& a, const membership& b) { return a.share < b.share; }));
  }
}

kernel::request_count limit_share::Current(kernel::time_point now) const {
  if (memberships_.empty()) return {};
  // Without contact, the time used is capped just before the end of the lease, so that no
  // membership that limits the share expires.
  const kernel::time_point effective_now = HasRecentContact(now) || !last_contact_
                                               ? now
                                               : *last_contact_ + lease_ - kernel::microseconds(1);
  kernel::request_count share = memberships_.back().share;
  for (const membership& entry : memberships_) {
    if (entry.replaced_at && *entry.replaced_at + lease_ > effective_now) {
      share = std::min(share, entry.share);
    }
  }
  return share;
}

std::optional<kernel::time_point> limit_share::NextChange(kernel::time_point now) const {
  std::optional<kernel::time_point> next;
  for (const membership& entry : memberships_) {
    if (!entry.replaced_at) continue;
    const kernel::time_point lease_end = *entry.replaced_at + lease_;
    if (lease_end > now && (!next || lease_end < *next)) next = lease_end;
  }
  return next;
}

}  // namespace cornelweir::admission
