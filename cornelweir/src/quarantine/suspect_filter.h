#ifndef CORNELWEIR_SRC_QUARANTINE_SUSPECT_FILTER_H_
#define CORNELWEIR_SRC_QUARANTINE_SUSPECT_FILTER_H_

#include <array>
#include <optional>
#include <vector>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/quarantine/limits.h"

namespace cornelweir::quarantine {

// Selects, at the daemon of an upstream, the requests that may have caused a crash. A request that
// the upstream completed recently is not a suspect. This keeps frequent requests out of the
// reports, since some of them are in progress at any crash.
class suspect_filter {
 public:
  // Records that the upstream completed the request.
  void OnCompleted(kernel::fingerprint request, kernel::time_point now);

  // The requests to report, out of those in progress at a crash.
  std::vector<kernel::fingerprint> Suspects(const std::vector<kernel::fingerprint>& in_progress,
                                            kernel::time_point now) const;

 private:
  struct completion {
    kernel::fingerprint request;
    std::optional<kernel::time_point> completed_at;
  };
  // Indexed by the low bits of the fingerprint; a later completion replaces an earlier one.
  std::array<completion, kCompletionSlots> completions_;
};

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_SUSPECT_FILTER_H_
