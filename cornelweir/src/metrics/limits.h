#ifndef CORNELWEIR_SRC_METRICS_LIMITS_H_
#define CORNELWEIR_SRC_METRICS_LIMITS_H_

#include <cstddef>
#include <string_view>

namespace cornelweir::metrics {

// Workspaces choose their own ids, so the number of series must not grow with them. A histogram
// with this many values takes some 0.7 MB, by arithmetic.
inline constexpr std::size_t kMaxLabelValues = 256;
inline constexpr std::size_t kMaxLabelBytes = 64;
// Stands for every value of a label beyond kMaxLabelValues.
inline constexpr std::string_view kOtherLabelValue = "other";
// Number of latest observations in a histogram's rolling mean.
inline constexpr std::size_t kRollingWindow = 256;

}  // namespace cornelweir::metrics

#endif  // CORNELWEIR_SRC_METRICS_LIMITS_H_
