#ifndef CORNELWEIR_SRC_ADMISSION_PRIORITY_CLASS_H_
#define CORNELWEIR_SRC_ADMISSION_PRIORITY_CLASS_H_

#include <cstddef>
#include <cstdint>

namespace cornelweir::admission {

// Priority classes of queued requests, in the order in which they are served.
enum class priority_class : std::uint8_t { kHigh, kNormal, kLow };

inline constexpr std::size_t kPriorityClasses = 3;

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_PRIORITY_CLASS_H_
