#ifndef CORNELWEIR_SRC_REPLICATION_LIMITS_H_
#define CORNELWEIR_SRC_REPLICATION_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::replication {

inline constexpr kernel::milliseconds kHeartbeatInterval{50};
// An election starts after six lost heartbeats at the earliest. The upper bound lets a failed
// leader be replaced within 1 s.
inline constexpr kernel::milliseconds kElectionTimeoutMin{300};
inline constexpr kernel::milliseconds kElectionTimeoutMax{600};
// Bounds of the delay before a host that got no majority repeats its pre-vote. A pre-vote changes
// no term, so it may be frequent, and a group whose hosts all start waits only for the last of
// them.
inline constexpr kernel::milliseconds kPreVoteRetryMin{50};
inline constexpr kernel::milliseconds kPreVoteRetryMax{150};
// Bounds of the first election timeout after a start. Shorter than those after the loss of a
// leader: an existing leader sends to the host within a heartbeat interval, and no host that has
// recent contact with a leader grants a pre-vote.
inline constexpr kernel::milliseconds kFirstElectionMin{80};
inline constexpr kernel::milliseconds kFirstElectionMax{180};
// Syncs of the log that an exchange between two hosts waits for: that of the sender and that of the
// receiver, each of which blocks its host. Elections and the leader's check of its majority allow
// for the syncs of a majority, as otherwise a group whose disks need as long as an election timeout
// has no leader.
inline constexpr int kSyncsPerExchange = 2;
// Longest sync that they allow for.
inline constexpr kernel::milliseconds kMaxAllowedSync{650};
// How long a sync is remembered at least.
inline constexpr kernel::milliseconds kSyncMemory{10'000};
// A read index request without a reply after this time has failed.
inline constexpr kernel::milliseconds kReadTimeout{1000};

// An append message must stay below the codec's limit of 1 MiB even if its last entry has the
// largest size.
inline constexpr std::size_t kMaxPayloadBytes = std::size_t{256} << 10;
inline constexpr std::size_t kMaxBatchBytes = std::size_t{256} << 10;
inline constexpr std::size_t kMaxBatchEntries = 256;
// Entries sent to one host and not yet acknowledged.
inline constexpr std::uint64_t kMaxInFlightEntries = 1024;
// Bytes of entries sent to one host between two of its acknowledgements, so that the leader doesn't
// queue its whole backlog for a slow host.
inline constexpr std::size_t kMaxInFlightBytes = std::size_t{4} << 20;

// Uncommitted entries on a leader above which it refuses proposals.
inline constexpr std::uint64_t kMaxBacklogEntries = 4096;
inline constexpr std::size_t kMaxBacklogBytes = std::size_t{16} << 20;
// Read index requests in progress above which further ones fail at once.
inline constexpr std::size_t kMaxPendingReads = 4096;
// Committed entries in one ready, so that a restart with a long log doesn't block the event loop.
inline constexpr std::size_t kMaxCommittedPerReady = 1024;

// Entries kept in memory that the latest snapshot already covers, so that a host that missed a few
// hundred changes gets these entries instead of the whole snapshot.
inline constexpr std::uint64_t kRetainedEntries = 1024;
inline constexpr std::size_t kRetainedBytes = std::size_t{8} << 20;
// Committed entries that a learner may be missing and still counts as caught up. Under load, a
// host that only replies to its leader never reaches the exact commit index.
inline constexpr std::uint64_t kMaxPromotionLag = 256;
inline constexpr std::size_t kSnapshotPieceBytes = std::size_t{128} << 10;
inline constexpr std::size_t kMaxSnapshotBytes = std::size_t{256} << 20;

// A voter without contact for this long is removed if another host can replace it. Longer than an
// ordinary restart, shorter than the time within which a replacement is expected to be a voter.
inline constexpr kernel::milliseconds kVoterReplacementTimeout{2'000};
// A leader without a majority steps down before it would replace a voter.
static_assert(kElectionTimeoutMax + kSyncsPerExchange * kMaxAllowedSync < kVoterReplacementTimeout);
// Silence of a host after which a group that is being founded does not wait for it. Ten heartbeats.
inline constexpr kernel::milliseconds kFoundingSilence{500};
// A learner without contact for this long is removed; it asks to join again once it is back.
inline constexpr kernel::milliseconds kLearnerRemovalTimeout{10'000};

inline constexpr std::size_t kMaxHosts = 64;

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_LIMITS_H_
