#ifndef CORNELWEIR_SRC_MEMORY_LIMITS_H_
#define CORNELWEIR_SRC_MEMORY_LIMITS_H_

#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::memory {

// Memory of the smallest hosts on which a daemon runs, in MB; the default of the setting memory_mb.
inline constexpr std::int64_t kDefaultMemoryMb = 160;
inline constexpr std::int64_t kBytesPerMb = 1'000'000;
// The part of the memory of a host that the account may give out, in percent. The rest is for the
// process itself, its state and its connections, and for copies while bytes are passed on.
inline constexpr std::int64_t kAccountPercent = 38;
// The part of the account that only small holds may use, in percent: it keeps the requests of
// ordinary callers going while large bodies take all that is left.
inline constexpr std::int64_t kReservePercent = 12;
inline constexpr kernel::byte_count kMaxSmallHold{64 << 10};
// The part of the account that one use may take, in percent.
inline constexpr std::int64_t kMaxUsePercent = 80;
// The account is scarce while more than this part of it is taken, in percent.
inline constexpr std::int64_t kScarcePercent = 70;

}  // namespace cornelweir::memory

#endif  // CORNELWEIR_SRC_MEMORY_LIMITS_H_
