#include "cornelweir/src/outcome/shared_retry_budget.h"

#include <algorithm>

#include "cornelweir/src/outcome/limits.h"

namespace cornelweir::outcome {
namespace {

std::int64_t BucketNumber(kernel::time_point now, kernel::microseconds bucket_length) {
  return now.time_since_epoch() / bucket_length;
}

}  // namespace

shared_retry_budget::bucket& shared_retry_budget::CurrentBucket(kernel::time_point now) {
  const kernel::microseconds bucket_length = kernel::microseconds(limits_.window) / kBuckets;
  const std::int64_t number = BucketNumber(now, bucket_length);
  bucket& current = buckets_[static_cast<std::size_t>(number) % buckets_.size()];
  if (current.number != number) current = bucket{number, 0, 0};
  return current;
}

void shared_retry_budget::OnRequest(kernel::time_point now) { ++CurrentBucket(now).requests; }

void shared_retry_budget::OnIndirectRetry(double fraction, kernel::time_point now) {
  CurrentBucket(now).retries += fraction;
}

bool shared_retry_budget::TryRetry(std::size_t daemon_count, kernel::time_point now) {
  bucket& current = CurrentBucket(now);
  const auto oldest = current.number - static_cast<std::int64_t>(kBuckets);
  std::int64_t requests = 0;
  double retries = 0;
  for (const bucket& counted : buckets_) {
    if (counted.number >= oldest) retries += counted.retries;
    if (counted.number > oldest) requests += counted.requests;
  }
  const double allowed_retries =
      kUsedRatio * limits_.ratio * static_cast<double>(requests) +
      kUsedSlack * limits_.slack / static_cast<double>(std::max<std::size_t>(daemon_count, 1));
  if (retries + 1 > allowed_retries) return false;
  current.retries += 1;
  return true;
}

}  // namespace cornelweir::outcome
