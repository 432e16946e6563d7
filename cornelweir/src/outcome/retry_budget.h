#ifndef CORNELWEIR_SRC_OUTCOME_RETRY_BUDGET_H_
#define CORNELWEIR_SRC_OUTCOME_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/outcome/limits.h"

namespace cornelweir::outcome {

// Limits the retries for one service to a fraction of its recent requests, so that retries do not
// multiply the load of a failing service.
class retry_budget {
 public:
  // Counts the first attempt of a request.
  void OnRequest(kernel::time_point now);

  // Whether the budget allows another retry now.
  bool CanRetry(kernel::time_point now) const;

  // Counts a retry if the budget allows it. Returns whether it does.
  bool TryRetry(kernel::time_point now);

 private:
  // Counts per bucket of time, as a ring buffer: a bucket is stored in the slot whose index is the
  // number of the bucket modulo the size. A slot with an older bucket counts as empty.
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
