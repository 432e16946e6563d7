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
// The shares of the allowed overshoot that the lifetime of tokens and the reserves of control hosts
// may use. The rest covers requests that wait between their admission and their start.
//
// Tokens that can be used in a window were issued to daemons in it or at most one lifetime before,
// or were in a reserve one lifetime before it. All owners together issue at most
// rate x (window + lifetime) + burst in that time, since each begins with empty buckets, and the
// reserves together hold at most their bound: an owner counts what each host may hold, and adds
// nothing until all tokens that it does not know have expired.
inline constexpr double kLifetimeShare = 0.3;
inline constexpr double kReserveShare = 0.5;

// The reserve of a control host covers the demand of this time: an election takes up to 600 ms, the
// fence 250 ms, and requests can wait for a part of it.
inline constexpr kernel::milliseconds kBridgedTime{800};
inline constexpr kernel::milliseconds kReserveLifetime{3'000};
// The least time between two statements about a reserve, and the usual time if no daemon asks for
// tokens of the workspace.
inline constexpr kernel::milliseconds kReservePeriod{100};
inline constexpr kernel::milliseconds kIdleReservePeriod{1'000};
// A control host gives up the reserve of a workspace of which it has passed on no token for this
// time.
inline constexpr kernel::milliseconds kReserveIdleTime{60'000};
// A control host uses its reserve if the owner has not answered for this time. Several times what
// an answer usually takes, and short for routes with an objective of 250 ms.
inline constexpr kernel::milliseconds kOwnerSilence{50};

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
// After a refusal a daemon does not ask the owner again for this time. A workspace that sends
// several times its limit would otherwise cause a request to the owner for each of its requests.
inline constexpr kernel::milliseconds kMinLocalRefusal{50};
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
// A control host adds no further request of a daemon to a merged request with this many entries, so
// that the message stays below 1 MiB with workspaces of 100 bytes.
inline constexpr std::size_t kMaxMergedEntries = 4'096;
// Largest number of tokens in one entry, so that a malformed request can't overflow a sum.
inline constexpr kernel::request_count kMaxTokensPerEntry{1'000'000};

}  // namespace cornelweir::quota

#endif  // CORNELWEIR_SRC_QUOTA_LIMITS_H_
