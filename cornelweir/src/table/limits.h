#ifndef CORNELWEIR_SRC_TABLE_LIMITS_H_
#define CORNELWEIR_SRC_TABLE_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace cornelweir::table {

inline constexpr std::size_t kMaxNameBytes = 64;
inline constexpr std::size_t kMaxPathPrefixBytes = 256;
inline constexpr std::size_t kMaxRows = 100'000;
inline constexpr std::size_t kMaxCallsOfService = 128;
// Longest chain of services that call each other. Callers use up to 19; the rest is headroom.
inline constexpr int kMaxCallDepth = 32;
inline constexpr std::int64_t kMaxWeight = 1'000;
inline constexpr std::int64_t kMaxInFlight = 1'000'000;
inline constexpr std::int64_t kMaxQueueLength = 100'000;
inline constexpr std::int64_t kMaxWaitMs = 600'000;

}  // namespace cornelweir::table

#endif  // CORNELWEIR_SRC_TABLE_LIMITS_H_
