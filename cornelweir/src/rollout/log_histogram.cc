#include "cornelweir/src/rollout/log_histogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cornelweir::rollout {
namespace internal {

std::size_t BucketOf(kernel::microseconds value) {
  if (value <= kShortestRunTime) return 0;
  const double doublings =
      std::log2(static_cast<double>(value.count()) / static_cast<double>(kShortestRunTime.count()));
  return std::min(static_cast<std::size_t>(doublings * kBucketsPerDoubling), kHistogramBuckets - 1);
}

// The value at a position on the scale of buckets.
kernel::microseconds ValueAt(double bucket) {
  return kernel::microseconds(std::llround(static_cast<double>(kShortestRunTime.count()) *
                                           std::exp2(bucket / kBucketsPerDoubling)));
}

}  // namespace internal

std::int64_t& log_histogram::At(std::size_t bucket) {
  if (counts_.empty()) first_ = bucket;
  if (bucket < first_) {
    counts_.insert(counts_.begin(), first_ - bucket, 0);
    first_ = bucket;
  }
  if (bucket >= first_ + counts_.size()) counts_.resize(bucket - first_ + 1, 0);
  return counts_[bucket - first_];
}

void log_histogram::Add(kernel::microseconds value) { ++At(internal::BucketOf(value)); }

void log_histogram::Add(const log_histogram& other) {
  for (std::size_t i = 0; i < other.counts_.size(); ++i) {
    // A received histogram may be malformed.
    if (other.first_ >= kHistogramBuckets || other.first_ + i >= kHistogramBuckets) return;
    if (other.counts_[i] != 0) At(other.first_ + i) += other.counts_[i];
  }
}

void log_histogram::Subtract(const log_histogram& other) {
  for (std::size_t i = 0; i < other.counts_.size(); ++i) {
    if (other.counts_[i] != 0) At(other.first_ + i) -= other.counts_[i];
  }
}

std::int64_t log_histogram::total() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::int64_t{0});
}

kernel::microseconds log_histogram::Quantile(double fraction) const {
  const double wanted = fraction * static_cast<double>(total());
  double below = 0;
  for (std::size_t i = 0; i < counts_.size(); ++i) {
    const auto count = static_cast<double>(counts_[i]);
    if (count > 0 && below + count >= wanted) {
      return internal::ValueAt(static_cast<double>(first_ + i) + (wanted - below) / count);
    }
    below += count;
  }
  return {};
}

}  // namespace cornelweir::rollout
