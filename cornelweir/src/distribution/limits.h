#ifndef CORNELWEIR_SRC_DISTRIBUTION_LIMITS_H_
#define CORNELWEIR_SRC_DISTRIBUTION_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::distribution {

// Versions that a publisher can bridge with a delta.
inline constexpr std::uint64_t kMaxVersionHistory = 512;
// Estimated size of one piece of a snapshot or of a large delta.
inline constexpr kernel::byte_count kMaxPieceBytes{std::int64_t{16} * 1024};
// Bounds what a subscriber stages, as pieces come from another process. A scope of 2,000 rows and
// 2,000 members takes less than 1 MB.
inline constexpr kernel::byte_count kMaxStagedBytes{std::int64_t{8} * 1024 * 1024};
inline constexpr std::uint32_t kMaxPieces = 2'048;

// A subscriber leaves a publisher that brought no new heartbeat round for this long.
inline constexpr kernel::milliseconds kHeartbeatTimeout{3'000};
// Between two requests for a resync, and between two repetitions of an unanswered proof query.
inline constexpr kernel::milliseconds kResyncInterval{1'000};
// Reports of what is enforced are repeated this often, in case one was lost with a connection.
inline constexpr kernel::milliseconds kReportInterval{10'000};
// Nonces that a publisher keeps for one subscriber: its own and those of its children's questions.
inline constexpr std::size_t kMaxNoncesPerSubscriber = 4;

// Publishers release queued pieces at this rate: 2.5 MiB a second if Tick() is called every
// kTickInterval. Changes that fit one piece are sent at once.
inline constexpr kernel::milliseconds kTickInterval{100};
inline constexpr kernel::byte_count kBytesPerTick{std::int64_t{256} * 1024};

// A publisher admits at most this many new subscribers within any second.
inline constexpr std::size_t kMaxAdmissionsPerSecond = 64;
// Range of the random delay that those who are not admitted are told to wait.
inline constexpr kernel::milliseconds kMinRetryAfter{100};
inline constexpr kernel::milliseconds kMaxRetryAfter{2'000};
// Backoff of subscribers: full jitter below a bound that doubles from the first value to the
// second.
inline constexpr kernel::milliseconds kMinBackoff{100};
inline constexpr kernel::milliseconds kMaxBackoff{5'000};

// Daemons of one service that subscribe to control hosts and relay to the others.
inline constexpr std::size_t kRoots = 2;
inline constexpr std::size_t kMaxChildren = 32;
// The tree is laid out for fewer children than are allowed, since hashing spreads them unevenly.
inline constexpr std::size_t kPlannedChildren = 24;
// Relays named in one redirect.
inline constexpr std::size_t kMaxCandidates = 3;
// After this many relays failed a daemon, control hosts admit it themselves for a while.
inline constexpr failure_count kFailedRelaysForDirect{2};
// How long a daemon that is no root may stay with a control host. Longer than a lease, so that a
// dead relay is out of the members by then.
inline constexpr kernel::milliseconds kTemporaryStay{30'000};
inline constexpr std::size_t kMaxTemporaryPerService = 4;
inline constexpr std::size_t kMaxTemporary = 256;
// Subscribers of a control host in all: two for each of 470 services, and headroom for services
// whose roots change.
inline constexpr std::size_t kMaxSubscribers = 4'096;
// How often control hosts check whether their subscribers are still roots, and how many they send
// away at once.
inline constexpr kernel::milliseconds kReviewInterval{1'000};
inline constexpr std::size_t kMaxReleasesPerReview = 64;

// Bounds of the progress that a daemon reports for those below it.
inline constexpr std::size_t kMaxVersionCounts = 8;
inline constexpr std::size_t kMaxBehindNames = 16;

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_LIMITS_H_
