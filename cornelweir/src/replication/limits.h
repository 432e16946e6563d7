#ifndef CORNELWEIR_SRC_REPLICATION_LIMITS_H_
#define CORNELWEIR_SRC_REPLICATION_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::replication {

inline constexpr kernel::milliseconds kHeartbeatInterval{50};
// Six heartbeats may be lost before an election starts; with the upper bound, a failed leader is
// replaced within 1 s.
inline constexpr kernel::milliseconds kElectionTimeoutMin{300};
inline constexpr kernel::milliseconds kElectionTimeoutMax{600};
// A host that found no majority for an election asks again within these times. Asking changes no
// term, so it may be frequent, and a group that starts as a whole waits only for its last host.
inline constexpr kernel::milliseconds kPreVoteRetryMin{50};
inline constexpr kernel::milliseconds kPreVoteRetryMax{150};
// A host that has just started asks sooner than one that lost its leader: an existing leader writes
// to it within a heartbeat, and no host grants a pre-vote that hears one.
inline constexpr kernel::milliseconds kFirstElectionMin{80};
inline constexpr kernel::milliseconds kFirstElectionMax{180};
// A forwarded read index request that was not answered by then has failed.
inline constexpr kernel::milliseconds kReadTimeout{1000};

// One append message must stay below the codec's limit of 1 MiB even if its last entry is of the
// largest size.
inline constexpr std::size_t kMaxPayloadBytes = std::size_t{256} << 10;
inline constexpr std::size_t kMaxBatchBytes = std::size_t{256} << 10;
inline constexpr std::size_t kMaxBatchEntries = 256;
// Entries that were sent to one host and not yet acknowledged.
inline constexpr std::uint64_t kMaxInFlightEntries = 1024;
// Bytes of entries that are sent to one host between two of its acknowledgements, so that a slow
// host can't make its leader queue the whole backlog for it.
inline constexpr std::size_t kMaxInFlightBytes = std::size_t{4} << 20;

// Entries that a leader holds uncommitted before it refuses proposals.
inline constexpr std::uint64_t kMaxBacklogEntries = 4096;
inline constexpr std::size_t kMaxBacklogBytes = std::size_t{16} << 20;
// Read index requests in progress before further ones fail at once.
inline constexpr std::size_t kMaxPendingReads = 4096;
// Committed entries per ready, so that a restart with a long log doesn't block the loop.
inline constexpr std::size_t kMaxCommittedPerReady = 1024;

// Entries kept in memory behind the latest snapshot, so that a host that missed a few hundred
// changes is caught up by entries instead of the whole snapshot.
inline constexpr std::uint64_t kRetainedEntries = 1024;
inline constexpr std::size_t kRetainedBytes = std::size_t{8} << 20;
// A learner counts as caught up with this many committed entries left: under load the exact commit
// index is out of reach for any host that only answers.
inline constexpr std::uint64_t kMaxPromotionLag = 256;
inline constexpr std::size_t kSnapshotPieceBytes = std::size_t{128} << 10;
inline constexpr std::size_t kMaxSnapshotBytes = std::size_t{256} << 20;

// A voter that is silent for so long gives up its place if another host is ready to take it. Longer
// than an ordinary restart, shorter than the time in which a successor is expected to count.
inline constexpr kernel::milliseconds kReplaceVoterAfter{2'000};
// A learner that is silent for so long is forgotten; it asks to join again when it is back.
inline constexpr kernel::milliseconds kForgetLearnerAfter{10'000};

inline constexpr std::size_t kMaxHosts = 64;

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_LIMITS_H_
