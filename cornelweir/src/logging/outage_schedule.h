#ifndef CORNELWEIR_SRC_LOGGING_OUTAGE_SCHEDULE_H_
#define CORNELWEIR_SRC_LOGGING_OUTAGE_SCHEDULE_H_

#include <optional>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::logging {

// Decides when an outage is logged: once it has lasted for the first delay, then once each period.
// So an outage of any length costs a bounded number of lines, and a short one costs none.
class outage_schedule {
 public:
  outage_schedule(kernel::microseconds first, kernel::microseconds period)
      : first_(first), period_(period) {}

  // An outage begins, unless one is in progress.
  void Begin(kernel::time_point now) {
    if (began_at_) return;
    began_at_ = now;
    next_report_ = now + first_;
    reported_ = false;
  }

  // The outage ends, if there is one. Returns its duration if it was reported.
  std::optional<kernel::microseconds> End(kernel::time_point now) {
    std::optional<kernel::microseconds> duration;
    if (began_at_ && reported_) duration = now - *began_at_;
    began_at_.reset();
    return duration;
  }

  // Whether the outage in progress is to be logged now. The next time is a period later.
  bool IsReportDue(kernel::time_point now) {
    if (!began_at_ || now < next_report_) return false;
    next_report_ = now + period_;
    reported_ = true;
    return true;
  }

  // The outage in progress until now; empty if there is none.
  std::optional<kernel::microseconds> Duration(kernel::time_point now) const {
    if (!began_at_) return std::nullopt;
    return now - *began_at_;
  }

 private:
  kernel::microseconds first_;
  kernel::microseconds period_;
  std::optional<kernel::time_point> began_at_;
  kernel::time_point next_report_;
  bool reported_ = false;
};

}  // namespace cornelweir::logging

#endif  // CORNELWEIR_SRC_LOGGING_OUTAGE_SCHEDULE_H_
