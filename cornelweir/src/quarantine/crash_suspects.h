#ifndef CORNELWEIR_SRC_QUARANTINE_CRASH_SUSPECTS_H_
#define CORNELWEIR_SRC_QUARANTINE_CRASH_SUSPECTS_H_

#include <vector>

#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::quarantine {

// The requests that may have caused a crash.
struct crash_suspects {
  std::vector<kernel::fingerprint> requests;
  // Those of them that had been in progress at another crash when they started.
  std::vector<kernel::fingerprint> resent;
};

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_CRASH_SUSPECTS_H_
