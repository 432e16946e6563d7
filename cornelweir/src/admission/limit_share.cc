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
  std::int64_t slots = 0;
  for (const share_member& member : members) {
    slots += std::max<std::int64_t>(member.slots.value(), 0);
  }
  std::vector<kernel::request_count> shares(members.size());
  const std::int64_t total = std::max<std::int64_t>(limit.value(), 0);
  if (slots == 0) return shares;
  struct remainder {
    std::int64_t value;
    std::size_t index;
  };
  std::vector<remainder> remainders;
  std::int64_t left = total;
  for (std::size_t index = 0; index < members.size(); ++index) {
    const std::int64_t own = std::max<std::int64_t>(members[index].slots.value(), 0);
    shares[index] = kernel::request_count(total * own / slots);
    left -= shares[index].value();
    if (own > 0) remainders.push_back({total * own % slots, index});
  }
  std::sort(remainders.begin(), remainders.end(), [&](const remainder& a, const remainder& b) {
    if (a.value != b.value) return a.value > b.value;
    return members[a.index].id < members[b.index].id;
  });
  for (std::size_t i = 0; i < static_cast<std::size_t>(left); ++i) {
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

bool limit_share::InContact(kernel::time_point now) const {
  return last_contact_ && now - *last_contact_ < lease_;
}

void limit_share::OnContact(kernel::time_point now) {
  if (!InContact(now) && !memberships_.empty()) {
    // Others may have joined during the outage: memberships that limit the share until now do so
    // for another lease time.
    for (membership& held : memberships_) {
      if (held.replaced && last_contact_ && *held.replaced + lease_ > *last_contact_) {
        held.replaced = now;
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
    for (membership& held : memberships_) held.share = ShareIn(held.members);
  }
  while (!memberships_.empty() && memberships_.front().replaced &&
         *memberships_.front().replaced + lease_ <= now) {
    memberships_.pop_front();
  }
  // Before the first membership the daemon had no share.
  if (memberships_.empty()) memberships_.push_back({{}, kernel::request_count(0), std::nullopt});
  membership& latest = memberships_.back();
  if (latest.members == members) return;
  latest.replaced = now;
  const kernel::request_count share = ShareIn(members);
  memberships_.push_back({std::move(members), share, std::nullopt});
  if (memberships_.size() > kMaxRememberedMemberships) {
    // The largest share never decides as long as smaller ones are remembered.
    memberships_.erase(std::max_element(
        memberships_.begin(), std::prev(memberships_.end()),
        [](const membership& a, const membership& b) { return a.share < b.share; }));
  }
}

kernel::request_count limit_share::Current(kernel::time_point now) const {
  if (memberships_.empty()) return {};
  // Without contact, time stands still just before the end of the lease.
  const kernel::time_point until =
      InContact(now) || !last_contact_ ? now : *last_contact_ + lease_ - kernel::microseconds(1);
  kernel::request_count share = memberships_.back().share;
  for (const membership& held : memberships_) {
    if (held.replaced && *held.replaced + lease_ > until) {
      share = std::min(share, held.share);
    }
  }
  return share;
}

std::optional<kernel::time_point> limit_share::NextChange(kernel::time_point now) const {
  std::optional<kernel::time_point> next;
  for (const membership& held : memberships_) {
    if (!held.replaced) continue;
    const kernel::time_point at = *held.replaced + lease_;
    if (at > now && (!next || at < *next)) next = at;
  }
  return next;
}

}  // namespace cornelweir::admission
