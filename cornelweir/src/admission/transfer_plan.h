#ifndef CORNELWEIR_SRC_ADMISSION_TRANSFER_PLAN_H_
#define CORNELWEIR_SRC_ADMISSION_TRANSFER_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cornelweir/src/kernel/clock.h"

namespace cornelweir::admission {

// A large body that shares a link with others.
struct transfer_job {
  std::size_t missing_bytes = 0;
  // 0 is the most urgent.
  std::int32_t priority = 0;
  // The time by which the response should be sent to meet the target latency.
  kernel::time_point objective;
  // The time by which the body has to be complete for that.
  kernel::time_point due;
  kernel::time_point deadline;
  // Bodies that are equal otherwise are served in this order.
  std::uint64_t arrival = 0;
};

// A body and when its last byte is expected.
struct planned_transfer {
  // Of the body in the list that was planned.
  std::size_t index = 0;
  kernel::time_point complete_at;
  // It is not expected to be complete when it is due.
  bool late = false;
};

// Returns all bodies in the order in which they are served, expected at this rate; 0 if the rate is
// unknown. Within one priority, the largest number of bodies that can be complete in time is found
// by adding those that could alone in the order of their objectives and, whenever one would be
// late, moving the one with the most missing bytes behind the others (Moore and Hodgson). Those
// that are late follow in the order of their deadlines.
std::vector<planned_transfer> PlanTransfers(const std::vector<transfer_job>& jobs,
                                            double bytes_per_second, kernel::time_point now);

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_TRANSFER_PLAN_H_
