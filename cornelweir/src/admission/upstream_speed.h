#ifndef CORNELWEIR_SRC_ADMISSION_UPSTREAM_SPEED_H_
#define CORNELWEIR_SRC_ADMISSION_UPSTREAM_SPEED_H_

#include <cstdint>
#include <map>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// Learns how fast an upstream is: its usual run time over all routes, and how much slower it is at
// present. Runs are compared with earlier ones of the same route, so that a change in the mix of
// routes does not look like a stall.
class upstream_speed {
 public:
  void OnRun(const kernel::route_name& route, kernel::microseconds run_time);
  // Forgets the runs of an earlier upstream process.
  void Reset() { *this = upstream_speed(); }

  // Mean run time over many runs; zero before the first.
  kernel::microseconds usual_run_time() const { return usual_.mean; }
  // The same over the runs of a route.
  kernel::microseconds usual_run_time(const kernel::route_name& route) const {
    const auto found = usual_by_route_.find(route);
    return found == usual_by_route_.end() ? kernel::microseconds::zero() : found->second.mean;
  }
  // The run time of the latest runs in percent of what is usual.
  std::int64_t slowdown_percent() const { return slowdown_percent_; }

 private:
  // A moving average that weighs its first samples equally.
  struct slow_average {
    kernel::microseconds mean{};
    std::int64_t samples = 0;

    void Add(kernel::microseconds sample);
  };

  slow_average usual_;
  std::map<kernel::route_name, slow_average> usual_by_route_;
  std::int64_t slowdown_percent_ = 100;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_UPSTREAM_SPEED_H_
