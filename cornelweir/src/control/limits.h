#ifndef CORNELWEIR_SRC_CONTROL_LIMITS_H_
#define CORNELWEIR_SRC_CONTROL_LIMITS_H_

#include <cstddef>

namespace cornelweir::control {

// Number of the latest changes whose outcomes are kept to answer resends. At 33,000 changes a day
// this covers 7 hours.
inline constexpr std::size_t kMaxChangeOutcomes = 10'000;
// Number of the latest versions that can be read and restored.
inline constexpr std::size_t kMaxVersions = 512;
inline constexpr std::size_t kMaxEditsPerChange = 1'000;
inline constexpr std::size_t kMaxChangeIdBytes = 128;
inline constexpr std::size_t kMaxAuthorBytes = 128;
inline constexpr std::size_t kMaxNoteBytes = 1'024;

// Number of the latest policies whose resends are recognized: one day of changes at the maximum
// rate of the design size.
inline constexpr std::size_t kMaxRememberedPolicies = 33'000;

}  // namespace cornelweir::control

#endif  // CORNELWEIR_SRC_CONTROL_LIMITS_H_
