#ifndef CORNELWEIR_SRC_ROLLOUT_LOG_HISTOGRAM_H_
#define CORNELWEIR_SRC_ROLLOUT_LOG_HISTOGRAM_H_

#include <cstddef>
#include <cstdint>
#include <tuple>
#include <vector>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/rollout/limits.h"

namespace cornelweir::rollout {

// Counts run times in buckets whose bounds grow by a constant factor.
class log_histogram {
 public:
  void Add(kernel::microseconds value);
  void Add(const log_histogram& other);
  // Requires that every count of other is included in this histogram.
  void Subtract(const log_histogram& other);

  std::int64_t total() const;
  std::int64_t Count(std::size_t bucket) const {
    return bucket < first_ || bucket >= first_ + counts_.size() ? 0 : counts_[bucket - first_];
  }
  // The value below which the fraction of the counts lies, interpolated within its bucket. Zero if
  // the histogram is empty.
  kernel::microseconds Quantile(double fraction) const;

  // Only the buckets from the first to the last one in use are stored.
  static constexpr auto Fields() {
    return std::tuple{kernel::field{"f", &log_histogram::first_},
                      kernel::field{"c", &log_histogram::counts_}};
  }
  friend bool operator==(const log_histogram&, const log_histogram&) = default;

 private:
  std::int64_t& At(std::size_t bucket);

  std::size_t first_ = 0;
  std::vector<std::int64_t> counts_;
};

}  // namespace cornelweir::rollout

#endif  // CORNELWEIR_SRC_ROLLOUT_LOG_HISTOGRAM_H_
