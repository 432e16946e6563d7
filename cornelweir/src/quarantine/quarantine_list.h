#ifndef CORNELWEIR_SRC_QUARANTINE_QUARANTINE_LIST_H_
#define CORNELWEIR_SRC_QUARANTINE_QUARANTINE_LIST_H_

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/log_time.h"
#include "cornelweir/src/quarantine/quarantined_fingerprint.h"

namespace cornelweir::quarantine {

// The quarantined requests known to one daemon. Each entry also expires by the daemon's own clock,
// so that a daemon that has lost its publisher does not refuse a request forever.
class quarantine_list {
 public:
  // Replaces the list by the one that a publisher sent. Entries whose end has not changed keep
  // their expiry by the local clock. Returns the requests whose quarantine was ended before that.
  std::vector<kernel::fingerprint> Replace(const std::vector<quarantined_fingerprint>& list,
                                           kernel::time_point now);

  // Whether the request must be refused.
  bool Contains(kernel::fingerprint request, kernel::time_point now) const {
    return TimeLeft(request, now) > kernel::microseconds::zero();
  }
  // Time for which the request must be refused; zero if it may run.
  kernel::microseconds TimeLeft(kernel::fingerprint request, kernel::time_point now) const;

  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    kernel::log_time until;
    kernel::time_point local_end;
  };
  std::unordered_map<kernel::fingerprint, entry> entries_;
};

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_QUARANTINE_LIST_H_
