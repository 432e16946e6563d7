#ifndef CORNELWEIR_SRC_ADMISSION_RUN_TIME_ESTIMATE_H_
#define CORNELWEIR_SRC_ADMISSION_RUN_TIME_ESTIMATE_H_

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// Learns the run time of a route's requests and its spread from recent runs, as TCP learns the
// round-trip time: the moving averages follow a change of the load within a few runs.
class run_time_estimate {
 public:
  // Records a run that completed.
  void OnCompleted(kernel::microseconds run_time, kernel::time_point now);
  // Records a run that was still incomplete after this time.
  void OnTimeout(kernel::microseconds elapsed, kernel::time_point now);

  // Mean run time; zero before the first run.
  kernel::microseconds mean() const { return mean_; }
  // Run time that most runs do not exceed; zero before the first run. Without new runs it
  // approaches the mean, and it is at most a part of time_limit, the time that callers allow for
  // the whole request. Otherwise an upstream that was slow once could be refused all requests, and
  // would have no run that shows that it recovered.
  kernel::microseconds Safe(kernel::microseconds time_limit, kernel::time_point now) const;

 private:
  void AddSample(kernel::microseconds sample, kernel::time_point now);

  kernel::microseconds mean_{};
  // Moving average of the distance of the runs from the mean.
  kernel::microseconds deviation_{};
  kernel::time_point updated_at_;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_RUN_TIME_ESTIMATE_H_
