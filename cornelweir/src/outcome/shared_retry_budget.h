#ifndef CORNELWEIR_SRC_OUTCOME_SHARED_RETRY_BUDGET_H_
#define CORNELWEIR_SRC_OUTCOME_SHARED_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::outcome {

// How many requests all daemons together may send again for one service.
struct retry_limits {
  // Of the requests in the window.
  double ratio = 0;
  // Besides, for all daemons together.
  double slack = 0;
  kernel::milliseconds window{10'000};
};

// One daemon's part of a retry budget that all daemons share. Each counts only what it saw itself:
// its own requests carry their part of the ratio, and the slack is divided by the daemons, so that
// the parts never add up to more than the whole.
class shared_retry_budget {
 public:
  explicit shared_retry_budget(const retry_limits& limits) : limits_(limits) {}

  void OnRequest(kernel::time_point now);
  // Takes one retry if the budget has one left.
  bool TryRetry(std::size_t daemons, kernel::time_point now);

 private:
  static constexpr std::size_t kBuckets = 10;
  struct bucket {
    std::int64_t number = -1;
    std::int64_t requests = 0;
    std::int64_t retries = 0;
  };

  bucket& At(kernel::time_point now);

  retry_limits limits_;
  // One more than the window has, since the window slides within a bucket.
  std::array<bucket, kBuckets + 1> buckets_{};
};

}  // namespace cornelweir::outcome

#endif  // CORNELWEIR_SRC_OUTCOME_SHARED_RETRY_BUDGET_H_
