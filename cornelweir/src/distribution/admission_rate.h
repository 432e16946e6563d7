#ifndef CORNELWEIR_SRC_DISTRIBUTION_ADMISSION_RATE_H_
#define CORNELWEIR_SRC_DISTRIBUTION_ADMISSION_RATE_H_

#include <deque>

#include "cornelweir/src/distribution/limits.h"
#include "cornelweir/src/kernel/clock.h"

namespace cornelweir::distribution {

// Admits at most kMaxAdmissionsPerSecond within any second.
class admission_rate {
 public:
  bool Admit(kernel::time_point now) {
    while (!admitted_.empty() && now - admitted_.front() >= kernel::milliseconds(1'000)) {
      admitted_.pop_front();
    }
    if (admitted_.size() >= kMaxAdmissionsPerSecond) return false;
    admitted_.push_back(now);
    return true;
  }

 private:
  std::deque<kernel::time_point> admitted_;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_ADMISSION_RATE_H_
