#ifndef CORNELWEIR_SRC_MEMBERSHIP_LIMITS_H_
#define CORNELWEIR_SRC_MEMBERSHIP_LIMITS_H_

#include <cstddef>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::membership {

// The design size is 17,000 upstreams; the rest is headroom for replacements.
inline constexpr std::size_t kMaxMembers = 40'000;
// Departed incarnations that are kept one by one. Older ones are covered by a minimum incarnation.
inline constexpr std::size_t kMaxTombstones = 20'000;
// Changes that are kept to be sent as a delta. The restart of a third of the fleet, at three
// changes for each upstream, still fits, so that no daemon needs a snapshot.
inline constexpr std::size_t kMaxHistoryEntries = 16'384;
inline constexpr std::size_t kMaxNameBytes = 128;

// Daemons renew every second, so a lease survives four lost renewals.
inline constexpr kernel::milliseconds kLease{5'000};
inline constexpr kernel::milliseconds kRenewInterval{1'000};
// Two renewal intervals without a renewal from any upstream mean that the leader itself is
// partitioned.
inline constexpr kernel::milliseconds kMaxRenewalGap{2'000};
// A longer time between two calls of Expire() means that the leader's process was paused.
inline constexpr kernel::milliseconds kMaxExpireGap{1'000};
// At most 1/kExpiryShareDivisor of a service (at least one upstream) expires within one lease time
// unless the address of its daemon refuses connections. The same share bounds ejection in the
// daemons.
inline constexpr std::size_t kExpiryShareDivisor = 3;

// A daemon from which no control host received a report for this long is dropped from the roster.
// Its peers detect the loss on their own links at once; this only bounds the size of the roster.
inline constexpr kernel::milliseconds kDaemonLease{8'000};
// How long the record of a dropped daemon is kept, so that its delayed reports can be distinguished
// from new ones.
inline constexpr kernel::milliseconds kDaemonRetention{60'000};

}  // namespace cornelweir::membership

#endif  // CORNELWEIR_SRC_MEMBERSHIP_LIMITS_H_
