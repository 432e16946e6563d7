#ifndef CORNELWEIR_SRC_REPLICATION_LONGEST_SYNC_H_
#define CORNELWEIR_SRC_REPLICATION_LONGEST_SYNC_H_

#include <algorithm>
#include <utility>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/replication/limits.h"

namespace cornelweir::replication::internal {

// The longest recent sync of the log of one host. A sync is remembered for kSyncMemory at least and
// twice as long at most.
class longest_sync {
 public:
  void Record(kernel::microseconds duration, kernel::time_point now) {
    if (now - period_start_ >= 2 * kSyncMemory) {
      previous_ = current_ = kernel::microseconds::zero();
      period_start_ = now;
    } else if (now - period_start_ >= kSyncMemory) {
      previous_ = std::exchange(current_, kernel::microseconds::zero());
      period_start_ += kSyncMemory;
    }
    current_ = std::max(current_, duration);
  }

  kernel::microseconds Longest(kernel::time_point now) const {
    const kernel::microseconds age = now - period_start_;
    if (age >= 2 * kSyncMemory) return kernel::microseconds::zero();
    return age >= kSyncMemory ? current_ : std::max(previous_, current_);
  }

 private:
  kernel::time_point period_start_;
  kernel::microseconds previous_{};
  kernel::microseconds current_{};
};

}  // namespace cornelweir::replication::internal

#endif  // CORNELWEIR_SRC_REPLICATION_LONGEST_SYNC_H_
