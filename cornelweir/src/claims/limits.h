#ifndef CORNELWEIR_SRC_CLAIMS_LIMITS_H_
#define CORNELWEIR_SRC_CLAIMS_LIMITS_H_

#include <chrono>
#include <cstddef>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::claims {

// A stored key is the caller's key, of at most 128 bytes, with the names that scope it.
inline constexpr std::size_t kMaxStoredKeyBytes = 512;
inline constexpr std::size_t kMaxAttemptIdBytes = 128;
inline constexpr std::size_t kMaxClaims = 1'000'000;
inline constexpr std::size_t kMaxBodyBytes = 4096;
inline constexpr std::size_t kMaxContentTypeBytes = 128;
// Total size of the content types and bodies of all stored responses. A million bodies of maximum
// size would take 4 GiB.
inline constexpr kernel::byte_count kMaxStoredBytes{256LL << 20};
inline constexpr kernel::microseconds kClaimRetention = std::chrono::hours(24);
// How long a released attempt is stored, so that a delayed duplicate of its claim command is not
// granted after the attempt has ended.
inline constexpr kernel::microseconds kReleaseRetention = std::chrono::minutes(10);
// A full table evicts the oldest released claims, but none younger than this. Duplicates of
// commands are not expected to be delayed for longer.
inline constexpr kernel::microseconds kMinReleaseRetention = std::chrono::minutes(1);
// Maximum number of expired claims removed by one call, so that it does not block the loop for
// long.
inline constexpr std::size_t kMaxExpiredPerCall = 10'000;
// Maximum number of released attempts stored per key.
inline constexpr std::size_t kMaxReleasedAttempts = 8;

}  // namespace cornelweir::claims

#endif  // CORNELWEIR_SRC_CLAIMS_LIMITS_H_
