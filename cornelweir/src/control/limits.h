#ifndef CORNELWEIR_SRC_CONTROL_LIMITS_H_
#define CORNELWEIR_SRC_CONTROL_LIMITS_H_

#include <cstddef>

namespace cornelweir::control {

// A resend within the latest this many changes gets the first outcome again. At 33,000 changes a
// day that is 7 hours.
inline constexpr std::size_t kMaxChangeOutcomes = 10'000;
// Versions that can still be read and restored.
inline constexpr std::size_t kMaxVersions = 512;
inline constexpr std::size_t kMaxEditsPerChange = 1'000;
inline constexpr std::size_t kMaxChangeIdBytes = 128;
inline constexpr std::size_t kMaxAuthorBytes = 128;
inline constexpr std::size_t kMaxNoteBytes = 1'024;

// Policies whose resend is recognized: a day of changes at the highest rate of the design size.
inline constexpr std::size_t kMaxRememberedPolicies = 33'000;

}  // namespace cornelweir::control

#endif  // CORNELWEIR_SRC_CONTROL_LIMITS_H_
