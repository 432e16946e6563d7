#ifndef CORNELWEIR_SRC_OUTCOME_RETRY_BUDGET_H_
#define CORNELWEIR_SRC_OUTCOME_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/outcome/limits.h"

namespace cornelweir::outcome {

// Limits the retries for one service to a share of its recent requests, so that retries do not
// multiply the load of a service that is failing.
class retry_budget {
 public:
  // Counts a request's first attempt.
  void OnRequest(kernel::time_point now);

  // Whether one more retry fits now.
  bool CanRetry(kernel::time_point now) const;

  // Counts a retry if it fits. Returns whether it did.
  bool TryRetry(kernel::time_point now);

 private:
  // Counts by bucket of time. The array's slot of a bucket is its number modulo the size; a slot
  // that holds an older bucket counts as empty.
  template <std::size_t Size>
  struct windowed_count {
    struct slot {
      std::int64_t bucket = -1;
      std::int64_t count = 0;
    };
    std::array<slot, Size> slots{};

    void Add(std::int64_t bucket);
    std::int64_t Sum(std::int64_t bucket) const;
  };

  windowed_count<kRequestBuckets> requests_;
  windowed_count<kRetryBuckets> retries_;
};

}  // namespace cornelweir::outcome

#endif  // CORNELWEIR_SRC_OUTCOME_RETRY_BUDGET_H_
