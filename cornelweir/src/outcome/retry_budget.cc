#include "cornelweir/src/outcome/retry_budget.h"

namespace cornelweir::outcome {
namespace internal {

std::int64_t BucketNumber(kernel::time_point now) { return now.time_since_epoch() / kRetryBucket; }

}  // namespace internal

template <std::size_t Size>
void retry_budget::windowed_count<Size>::Add(std::int64_t bucket) {
  slot& current = slots[static_cast<std::size_t>(bucket) % Size];
  if (current.bucket != bucket) current = slot{bucket, 0};
  ++current.count;
}

template <std::size_t Size>
std::int64_t retry_budget::windowed_count<Size>::Sum(std::int64_t bucket) const {
  std::int64_t sum = 0;
  for (const slot& candidate : slots) {
    if (candidate.bucket >= 0 && bucket - candidate.bucket < static_cast<std::int64_t>(Size)) {
      sum += candidate.count;
    }
  }
  return sum;
}

void retry_budget::OnRequest(kernel::time_point now) { requests_.Add(internal::BucketNumber(now)); }

bool retry_budget::CanRetry(kernel::time_point now) const {
  const std::int64_t bucket = internal::BucketNumber(now);
  return retries_.Sum(bucket) < requests_.Sum(bucket) / kRequestsPerRetry + kBaseRetries;
}

bool retry_budget::TryRetry(kernel::time_point now) {
  if (!CanRetry(now)) return false;
  retries_.Add(internal::BucketNumber(now));
  return true;
}

}  // namespace cornelweir::outcome
