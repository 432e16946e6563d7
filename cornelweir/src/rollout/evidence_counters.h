#ifndef CORNELWEIR_SRC_ROLLOUT_EVIDENCE_COUNTERS_H_
#define CORNELWEIR_SRC_ROLLOUT_EVIDENCE_COUNTERS_H_

#include <map>
#include <optional>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/rollout/route_evidence.h"

namespace cornelweir::rollout {

// How the run of a request at an upstream ended.
enum class run_end : std::uint8_t {
  kSuccess,
  kServerError,
  // The connection broke before the response.
  kBroken,
  kTimeout,
};

// Counts, at the daemon beside an upstream, how the requests of each route ended.
class evidence_counters {
 public:
  // Clears the counters. The time identifies what is counted from here on.
  void Restart(kernel::time_point now);

  // Records a run. warming_up says that the upstream is slow because it has just started.
  void Record(const kernel::route_name& route, run_end end, kernel::microseconds run_time,
              bool warming_up, kernel::time_point now);

  const std::map<kernel::route_name, route_evidence>& routes() const { return routes_; }
  kernel::time_point started_at() const { return started_at_; }

 private:
  std::map<kernel::route_name, route_evidence> routes_;
  kernel::time_point started_at_;
  std::optional<kernel::time_point> last_broken_at_;
};

}  // namespace cornelweir::rollout

#endif  // CORNELWEIR_SRC_ROLLOUT_EVIDENCE_COUNTERS_H_
