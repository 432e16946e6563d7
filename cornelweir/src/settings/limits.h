#ifndef CORNELWEIR_SRC_SETTINGS_LIMITS_H_
#define CORNELWEIR_SRC_SETTINGS_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/shutdown/limits.h"

namespace cornelweir::settings {

inline constexpr std::size_t kMaxFileBytes = std::size_t{1} << 20;
inline constexpr std::size_t kMaxNameBytes = 64;
inline constexpr std::size_t kMaxPathBytes = 4096;
inline constexpr std::size_t kMaxPlugins = 16;
// The platform grants at most 18 hosts to control.
inline constexpr std::size_t kMaxControlHosts = 18;

inline constexpr std::int64_t kDefaultMaxBodyBytes = std::int64_t{1} << 20;
inline constexpr std::int64_t kMaxMaxBodyBytes = std::int64_t{1} << 26;
inline constexpr std::int64_t kDefaultDrainMs = 10'000;
inline constexpr std::int64_t kMaxDrainMs = 600'000;
// A shorter grace period would be used up by what is reserved at its end.
inline constexpr std::int64_t kMinControlShutdownMs = shutdown::kControlReserve.count() + 1;
inline constexpr std::int64_t kMinSidecarShutdownMs = shutdown::kSidecarReserve.count() + 1;
inline constexpr std::int64_t kDefaultConnectionsPerPeer = 32;
inline constexpr std::int64_t kMaxConnectionsPerPeer = 1'024;

inline constexpr std::int64_t kMaxPort = 65'535;
// Leaves room in the account for the largest body that is buffered whole.
inline constexpr std::int64_t kMinMemoryMb = 64;
inline constexpr std::int64_t kMaxMemoryMb = 1'048'576;
inline constexpr std::int64_t kMaxRetryWindowMs = 600'000;
inline constexpr std::int64_t kMaxRetrySlack = 100'000;
inline constexpr kernel::milliseconds kMaxPolicyAge{600'000};
inline constexpr std::int64_t kMaxQuotaWindowMs = 600'000;
inline constexpr std::int64_t kMaxQuotaOvershoot = 10;
inline constexpr std::int64_t kMaxQuotaSlack = 100'000;

}  // namespace cornelweir::settings

#endif  // CORNELWEIR_SRC_SETTINGS_LIMITS_H_
