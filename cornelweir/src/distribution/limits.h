#ifndef CORNELWEIR_SRC_DISTRIBUTION_LIMITS_H_
#define CORNELWEIR_SRC_DISTRIBUTION_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::distribution {

// The greatest distance, in versions, that a publisher covers with a delta.
inline constexpr std::uint64_t kMaxVersionHistory = 512;
// Largest estimated size of one piece of a snapshot or of a large delta.
inline constexpr kernel::byte_count kMaxPieceBytes{std::int64_t{16} * 1024};
// Bound the memory that a subscriber uses for incomplete transfers, since pieces come from another
// process. A scope of 2,000 rows and 2,000 members takes less than 1 MB.
inline constexpr kernel::byte_count kMaxStagedBytes{std::int64_t{8} * 1024 * 1024};
inline constexpr std::uint32_t kMaxPieces = 2'048;

// A subscriber changes its publisher if no new heartbeat round arrives for this long.
inline constexpr kernel::milliseconds kHeartbeatTimeout{3'000};
// Minimum time between two resync requests, and between retries of an unanswered proof query.
inline constexpr kernel::milliseconds kResyncInterval{1'000};
// Period at which reports of the enforced version are repeated, as one may be lost with a
// connection.
inline constexpr kernel::milliseconds kReportInterval{10'000};
// Nonces that a publisher keeps for one subscriber: its own and those of its children's queries.
inline constexpr std::size_t kMaxNoncesPerSubscriber = 4;

// Publishers send queued pieces at this rate: 2.5 MiB/s if Tick() is called every kTickInterval.
// Changes that fit in one piece are sent at once.
inline constexpr kernel::milliseconds kTickInterval{100};
inline constexpr kernel::byte_count kBytesPerTick{std::int64_t{256} * 1024};

// New subscribers that a publisher admits within any second.
inline constexpr std::size_t kMaxAdmissionsPerSecond = 64;
// Range of the random retry delay for subscribers that are not admitted.
inline constexpr kernel::milliseconds kMinRetryAfter{100};
inline constexpr kernel::milliseconds kMaxRetryAfter{2'000};
// Reconnection backoff of subscribers: full jitter below a bound that doubles from kMinBackoff to
// kMaxBackoff.
inline constexpr kernel::milliseconds kMinBackoff{100};
inline constexpr kernel::milliseconds kMaxBackoff{5'000};

// Daemons of one service that subscribe to control hosts and relay to the other daemons.
inline constexpr std::size_t kRootsPerService = 2;
inline constexpr std::size_t kMaxChildren = 32;
// The tree is built for fewer children per relay than allowed, since hashing spreads them unevenly.
inline constexpr std::size_t kTargetChildren = 24;
// Relays listed in one redirect.
inline constexpr std::size_t kMaxRedirectCandidates = 3;
// After this many relay failures, control hosts admit a daemon themselves for a limited time.
inline constexpr failure_count kRelayFailuresForDirectSubscription{2};
// How long a daemon that is not a root may subscribe to a control host. Longer than a lease, so
// that a failed relay has been removed from the members by then.
inline constexpr kernel::milliseconds kTemporarySubscriptionDuration{30'000};
inline constexpr std::size_t kMaxTemporarySubscribersPerService = 4;
inline constexpr std::size_t kMaxTemporarySubscribers = 256;
// Total subscribers of a control host: two for each of 470 services, with headroom for services
// whose roots change.
inline constexpr std::size_t kMaxSubscribers = 4'096;
// How often control hosts check whether their subscribers are still roots, and how many they
// redirect in one check.
inline constexpr kernel::milliseconds kPlacementReviewInterval{1'000};
inline constexpr std::size_t kMaxRedirectsPerReview = 64;

// Limits of the progress report of a daemon for the daemons that it serves.
inline constexpr std::size_t kMaxVersionCounts = 8;
inline constexpr std::size_t kMaxBehindHosts = 16;

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_LIMITS_H_
