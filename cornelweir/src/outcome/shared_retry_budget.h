#ifndef CORNELWEIR_SRC_OUTCOME_SHARED_RETRY_BUDGET_H_
#define CORNELWEIR_SRC_OUTCOME_SHARED_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::outcome {

// Limits for the retries of all daemons together for one service.
struct retry_limits {
  // Retries allowed per request in the window.
  double ratio = 0;
  // Retries allowed in a window in addition, for all daemons together.
  double slack = 0;
  kernel::milliseconds window{10'000};
};

// One daemon's part of a retry budget that all daemons share without communicating. Each daemon
// counts only its own requests and retries. It gets the ratio of its own requests, and the slack
// divided by the number of daemons, so that the parts never add up to more than the whole budget.
class shared_retry_budget {
 public:
  explicit shared_retry_budget(const retry_limits& limits) : limits_(limits) {}

  // Counts the first attempt of a request.
  void OnRequest(kernel::time_point now);
  // Counts a call that an upstream has made while it ran retries, as this fraction of a retry.
  void OnIndirectRetry(double fraction, kernel::time_point now);
  // Counts a retry if the budget allows it. Returns whether it does.
  bool TryRetry(std::size_t daemon_count, kernel::time_point now);

 private:
  static constexpr std::size_t kBuckets = 10;
  struct bucket {
    std::int64_t number = -1;
    std::int64_t requests = 0;
    // Not a whole number, because of indirect retries.
    double retries = 0;
  };

  // The bucket of this time, emptied if it was last used for an earlier time.
  bucket& CurrentBucket(kernel::time_point now);

  retry_limits limits_;
  // One bucket more than the window has, since the window begins within a bucket.
  std::array<bucket, kBuckets + 1> buckets_{};
};

}  // namespace cornelweir::outcome

#endif  // CORNELWEIR_SRC_OUTCOME_SHARED_RETRY_BUDGET_H_
