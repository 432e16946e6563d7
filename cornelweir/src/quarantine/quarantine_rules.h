#ifndef CORNELWEIR_SRC_QUARANTINE_QUARANTINE_RULES_H_
#define CORNELWEIR_SRC_QUARANTINE_QUARANTINE_RULES_H_

#include <cstddef>
#include <cstdint>
#include <limits>

#include "cornelweir/src/quarantine/limits.h"

namespace cornelweir::quarantine {

// When a crash tracker quarantines a request, apart from a request that is the only one of a crash
// that was in progress at an earlier one.
struct quarantine_rules {
  // Requests with a recorded crash. Those with the weakest evidence are dropped first.
  std::size_t max_suspects = kMaxSuspects;
  // Evidence that is enough after kMinCrashes.
  std::int64_t min_evidence = kMinQuarantineEvidence;
  // Crashes that are enough whatever else was in progress.
  std::size_t sufficient_crashes = kSufficientCrashes;
  // Whether the only request of a crash that was in progress at an earlier one must also have
  // started after that. Two crashes within the run time of a busy path prove nothing against it.
  bool only_resent = false;
};

// The rules of a daemon. It runs one suspect at a time and hears of completions, so that evidence
// of several requests together is not needed.
inline constexpr quarantine_rules kDaemonRules{
    kMaxDaemonSuspects, std::numeric_limits<std::int64_t>::max(), kDaemonSufficientCrashes, true};

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_QUARANTINE_RULES_H_
