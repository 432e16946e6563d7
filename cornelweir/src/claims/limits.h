#ifndef CORNELWEIR_SRC_CLAIMS_LIMITS_H_
#define CORNELWEIR_SRC_CLAIMS_LIMITS_H_

#include <chrono>
#include <cstddef>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::claims {

// A key as the table stores it: the caller's key of at most 128 bytes with the names that scope it.
inline constexpr std::size_t kMaxStoredKeyBytes = 512;
inline constexpr std::size_t kMaxAttemptBytes = 128;
inline constexpr std::size_t kMaxClaims = 1'000'000;
inline constexpr std::size_t kMaxBodyBytes = 4096;
inline constexpr std::size_t kMaxContentTypeBytes = 128;
// Content types and bodies of all stored responses. A million full bodies would be 4 GiB.
inline constexpr kernel::byte_count kMaxStoredBytes{256LL << 20};
inline constexpr kernel::microseconds kClaimRetention = std::chrono::hours(24);
// How long a released attempt is remembered, so that a delayed copy of its claim command is not
// granted after the attempt has ended.
inline constexpr kernel::microseconds kReleaseRetention = std::chrono::minutes(10);
// A full table gives up the oldest released claims, but none younger than this: a delayed copy of a
// command is older only in theory.
inline constexpr kernel::microseconds kMinReleaseRetention = std::chrono::minutes(1);
// Claims that one call forgets, so that it does not keep the loop busy for long.
inline constexpr std::size_t kMaxForgottenPerCall = 10'000;
// Released attempts remembered per key.
inline constexpr std::size_t kMaxReleasedAttempts = 8;

}  // namespace cornelweir::claims

#endif  // CORNELWEIR_SRC_CLAIMS_LIMITS_H_
