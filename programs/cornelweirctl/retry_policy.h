#ifndef PROGRAMS_CORNELWEIRCTL_RETRY_POLICY_H_
#define PROGRAMS_CORNELWEIRCTL_RETRY_POLICY_H_

#include "cornelweir/src/kernel/quantity.h"
#include "programs/cornelweirctl/limits.h"

namespace cornelweir::ctl {

// How often all control hosts are tried, and how long the client waits between two rounds: a random
// time up to a bound that doubles from round to round.
struct retry_policy {
  int rounds = kRounds;
  kernel::milliseconds first_wait = kFirstWait;
  kernel::milliseconds longest_wait = kLongestWait;
  kernel::milliseconds attempt_timeout = kAttemptTimeout;
};

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_RETRY_POLICY_H_
