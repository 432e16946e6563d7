#ifndef CORNELWEIR_SRC_QUARANTINE_SUSPECT_FILTER_H_
#define CORNELWEIR_SRC_QUARANTINE_SUSPECT_FILTER_H_

#include <array>
#include <optional>
#include <vector>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/quarantine/limits.h"

namespace cornelweir::quarantine {

// Tells, at the daemon beside an upstream, which requests a crash may be due to. A request that
// the upstream completed a moment ago does not crash it: this keeps frequent requests, some of
// which are in progress at any crash, out of the reports.
class suspect_filter {
 public:
  void OnCompleted(kernel::fingerprint request, kernel::time_point now);

  // Those of the requests in progress at a crash that must be reported.
  std::vector<kernel::fingerprint> Suspects(const std::vector<kernel::fingerprint>& in_progress,
                                            kernel::time_point now) const;

 private:
  struct completion {
    kernel::fingerprint request;
    std::optional<kernel::time_point> at;
  };
  // One slot for each low part of a fingerprint; a later completion replaces an earlier one.
  std::array<completion, kRememberedCompletions> completions_;
};

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_SUSPECT_FILTER_H_
