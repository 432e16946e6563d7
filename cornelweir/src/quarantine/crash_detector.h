#ifndef CORNELWEIR_SRC_QUARANTINE_CRASH_DETECTOR_H_
#define CORNELWEIR_SRC_QUARANTINE_CRASH_DETECTOR_H_

#include <vector>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/quarantine/crash_suspects.h"
#include "cornelweir/src/quarantine/limits.h"
#include "cornelweir/src/quarantine/suspect_filter.h"

namespace cornelweir::quarantine {

// Decides at the daemon of an upstream which requests may have crashed the upstream's process. A
// broken connection alone does not show a crash, since the upstream may have closed it: it also
// takes a refused new connection soon after, or the announcement of another process.
class crash_detector {
 public:
  // A connection broke while the upstream ran the request. The caller has to find out, after
  // kCrashProbeDelay, whether the upstream still takes connections. resent: see crash_suspects.
  void OnBroken(kernel::fingerprint request, bool resent, kernel::time_point now);
  // The upstream completed the request.
  void OnCompleted(kernel::fingerprint request, kernel::time_point now) {
    completions_.OnCompleted(request, now);
  }
  // The upstream refuses connections. Returns the suspects, none if no connection broke within
  // kCrashWindow.
  crash_suspects OnRefused(kernel::time_point now);
  // Another process of the upstream has announced itself. Returns the suspects, none if no
  // connection broke within kRestartWindow.
  crash_suspects OnReplaced(kernel::time_point now);
  // The upstream has said that it ends. What breaks from then on is no evidence.
  void OnLeaving() { broken_.clear(); }

 private:
  struct broken_request {
    kernel::fingerprint request;
    bool resent = false;
    kernel::time_point broken_at;
  };

  crash_suspects TakeSuspects(kernel::microseconds window, kernel::time_point now);

  // In the order of their times, at most kMaxReportedRequests. The latest are kept.
  std::vector<broken_request> broken_;
  suspect_filter completions_;
};

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_CRASH_DETECTOR_H_
