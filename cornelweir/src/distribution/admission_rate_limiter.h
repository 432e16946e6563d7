#ifndef CORNELWEIR_SRC_DISTRIBUTION_ADMISSION_RATE_LIMITER_H_
#define CORNELWEIR_SRC_DISTRIBUTION_ADMISSION_RATE_LIMITER_H_

#include <deque>

#include "cornelweir/src/distribution/limits.h"
#include "cornelweir/src/kernel/clock.h"

namespace cornelweir::distribution {

// Limits admissions to kMaxAdmissionsPerSecond within any sliding window of one second.
class admission_rate_limiter {
 public:
  bool Admit(kernel::time_point now) {
    while (!admission_times_.empty() &&
           now - admission_times_.front() >= kernel::milliseconds(1'000)) {
      admission_times_.pop_front();
    }
    if (admission_times_.size() >= kMaxAdmissionsPerSecond) return false;
    admission_times_.push_back(now);
    return true;
  }

 private:
  std::deque<kernel::time_point> admission_times_;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_ADMISSION_RATE_LIMITER_H_
