#ifndef CORNELWEIR_SRC_QUOTA_LIMITS_H_
#define CORNELWEIR_SRC_QUOTA_LIMITS_H_

#include <cstddef>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::quota {

// An owner issues tokens only within this time after it sent the last heartbeat round that a
// majority confirmed, and not before this time has passed since it became the leader. The round was
// sent before a later leader took over, so two owners never issue at the same time.
inline constexpr kernel::milliseconds kIssueFence{250};

inline constexpr kernel::milliseconds kMaxTokenLifetime{3'000};
// The share of the allowed overshoot that the lifetime of tokens may use. The rest covers requests
// that wait between their admission and their start.
inline constexpr double kLifetimeShare = 0.8;

// A daemon stores tokens for its own demand of this time, and asks for more at most once per
// kRefillPeriod. Single tokens for requests that wait are not delayed.
inline constexpr kernel::milliseconds kStoredDemand{300};
inline constexpr kernel::milliseconds kRefillPeriod{100};
// The period of the moving average of the demand.
inline constexpr kernel::milliseconds kDemandPeriod{2'000};
// No tokens are stored for this time after a refusal: they would be missing at other daemons.
inline constexpr kernel::milliseconds kRefillPauseAfterRefusal{1'000};
// A request without a grant after this time is presumed lost, and its tokens are requested again.
// Longer than an answer takes while the processes get no processor time for 100 ms.
inline constexpr kernel::milliseconds kGrantTimeout{250};
// After a refusal a daemon asks the owner again after this time, even if the next token is due
// later: the limit may have been raised.
inline constexpr kernel::milliseconds kMaxLocalRefusal{1'000};
// The least delay before tokens are requested again that a new owner could not grant yet.
inline constexpr kernel::milliseconds kMinPendingDelay{20};
// A daemon forgets a workspace that it has not served for this time.
inline constexpr kernel::milliseconds kIdleTime{10'000};

// The owner answers a daemon that asks for a workspace that does not exist with this delay before
// its next request.
inline constexpr kernel::milliseconds kUnknownWorkspaceDelay{200};
// Largest number of entries in one request. Further ones are sent in the next.
inline constexpr std::size_t kMaxRequestEntries = 512;
// Largest number of tokens in one entry, so that a malformed request can't overflow a sum.
inline constexpr kernel::request_count kMaxTokensPerEntry{1'000'000};

}  // namespace cornelweir::quota

#endif  // CORNELWEIR_SRC_QUOTA_LIMITS_H_
