#ifndef CORNELWEIR_SRC_MEMBERSHIP_LIMITS_H_
#define CORNELWEIR_SRC_MEMBERSHIP_LIMITS_H_

#include <cstddef>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::membership {

// 17,000 upstreams are the size to design for; the rest is headroom for replacements.
inline constexpr std::size_t kMaxMembers = 40'000;
// Departed incarnations that are remembered one by one. Above that a floor takes their place.
inline constexpr std::size_t kMaxTombstones = 20'000;
// Changes that can be sent as a delta. A restart of a third of the fleet (three changes each)
// still fits, so that its daemons need no snapshot.
inline constexpr std::size_t kMaxHistory = 16'384;
inline constexpr std::size_t kMaxNameBytes = 128;

// Daemons renew every second, so a lease survives four lost renewals.
inline constexpr kernel::milliseconds kLease{5'000};
inline constexpr kernel::milliseconds kRenewInterval{1'000};
// Two renewal intervals without a renewal from anybody mean that the leader is cut off itself.
inline constexpr kernel::milliseconds kRenewalSilence{2'000};
// A longer time between two calls of Expire() means that the leader's process was paused.
inline constexpr kernel::milliseconds kMaxExpireGap{1'000};
// At most 1/kExpiryShare of a service (at least one upstream) is expired within one lease time
// without positive evidence. The same share bounds ejection in the daemons.
inline constexpr std::size_t kExpiryShare = 3;

// A daemon that no control host heard of for so long is dropped from the roster. Its peers notice
// its loss at once on their own links; this only bounds the roster.
inline constexpr kernel::milliseconds kDaemonLease{8'000};
// How long a dropped daemon is remembered, so that late reports of it can be told from new ones.
inline constexpr kernel::milliseconds kForgetDaemonAfter{60'000};

}  // namespace cornelweir::membership

#endif  // CORNELWEIR_SRC_MEMBERSHIP_LIMITS_H_
