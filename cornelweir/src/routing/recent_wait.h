#ifndef CORNELWEIR_SRC_ROUTING_RECENT_WAIT_H_
#define CORNELWEIR_SRC_ROUTING_RECENT_WAIT_H_

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::routing {

// The mean of the waits that several upstreams reported. Older reports weigh less.
class recent_wait {
 public:
  void Add(kernel::microseconds wait, kernel::microseconds age);
  // Zero without a recent report.
  kernel::microseconds Mean() const;

 private:
  double weighted_sum_us_ = 0;
  double weight_ = 0;
};

}  // namespace cornelweir::routing

#endif  // CORNELWEIR_SRC_ROUTING_RECENT_WAIT_H_
