#ifndef CORNELWEIR_SRC_ADMISSION_REQUEST_RANK_H_
#define CORNELWEIR_SRC_ADMISSION_REQUEST_RANK_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "cornelweir/src/kernel/clock.h"

namespace cornelweir::admission {

// How urgent a request is.
struct request_rank {
  // 0 is the most urgent.
  std::int32_t priority = 0;
  kernel::time_point objective;
  kernel::time_point deadline;

  // A smaller rank is more urgent.
  friend auto operator<=>(const request_rank&, const request_rank&) = default;
};

// The rank of a call made by one of the running requests, when it is unknown which one: the median
// of their priorities and objectives, and the latest deadline, after which the call is certainly of
// no use. Empty if none is running.
std::optional<request_rank> RankOfCall(std::vector<request_rank> running);

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_REQUEST_RANK_H_
