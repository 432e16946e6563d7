#ifndef CORNELWEIR_SRC_DISTRIBUTION_LIMITS_H_
#define CORNELWEIR_SRC_DISTRIBUTION_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::distribution {

// Versions that a publisher can bridge with a delta.
inline constexpr std::uint64_t kMaxVersionHistory = 512;
// Estimated size of one piece of a snapshot or of a large delta.
inline constexpr kernel::byte_count kMaxPieceBytes{16 * 1024};
// Bounds what a subscriber stages, as pieces come from another process. A scope of 2,000 rows and
// 2,000 members takes less than 1 MB.
inline constexpr kernel::byte_count kMaxStagedBytes{8 * 1024 * 1024};
inline constexpr std::uint32_t kMaxPieces = 2'048;

// A subscriber leaves a publisher that brought no new heartbeat round for this long.
inline constexpr kernel::milliseconds kHeartbeatTimeout{3'000};
// Between two requests for a resync, and between two repetitions of an unanswered proof query.
inline constexpr kernel::milliseconds kResyncInterval{1'000};
// Nonces that a publisher keeps for one subscriber: its own and those of its children's questions.
inline constexpr std::size_t kMaxNoncesPerSubscriber = 4;

// Publishers release queued pieces at this rate: 2.5 MiB a second if Tick() is called every
// kTickInterval. Changes that fit one piece are sent at once.
inline constexpr kernel::milliseconds kTickInterval{100};
inline constexpr kernel::byte_count kBytesPerTick{256 * 1024};

// Bounds of the progress that a daemon reports for those below it.
inline constexpr std::size_t kMaxVersionCounts = 8;
inline constexpr std::size_t kMaxBehindNames = 16;

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_LIMITS_H_
