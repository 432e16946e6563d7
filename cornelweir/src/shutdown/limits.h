#ifndef CORNELWEIR_SRC_SHUTDOWN_LIMITS_H_
#define CORNELWEIR_SRC_SHUTDOWN_LIMITS_H_

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::shutdown {

// Time for callers to notice that the daemon is not ready, before it stops accepting connections:
// two probes of the readiness, one a second, and their response times.
inline constexpr kernel::milliseconds kReadinessPropagationTime{2'300};

// Reserved at the end of the grace period for the current callback, the log and the exit of the
// process: a tenth of a processor runs 40 ms of them in this time.
inline constexpr kernel::milliseconds kExitReserve{400};
// Reserved before that for closing the links to other daemons: transport::kDrainTimeout and a
// margin.
inline constexpr kernel::milliseconds kLinkCloseReserve{500};
// Reserved before kExitReserve for the replies to operators whose changes have no outcome.
inline constexpr kernel::milliseconds kOperatorReplyReserve{200};

// On the proxy path: other daemons learn within this time that the upstream is draining. Requests
// that they forward until then are refused as not run and retried on another upstream.
inline constexpr kernel::milliseconds kDrainPropagationTime{1'000};
// On the proxy path: lets the last messages reach the control host before the link closes.
inline constexpr kernel::milliseconds kLeaveTime{100};

// The reserves of each role. A grace period that is not longer leaves no time for requests.
inline constexpr kernel::milliseconds kSidecarReserve = kExitReserve + kLinkCloseReserve;
inline constexpr kernel::milliseconds kControlReserve = kExitReserve + kOperatorReplyReserve;
// A proxy takes this besides the time for which it waits for requests in progress.
inline constexpr kernel::milliseconds kProxyReserve =
    kDrainPropagationTime + kLeaveTime + kExitReserve;

}  // namespace cornelweir::shutdown

#endif  // CORNELWEIR_SRC_SHUTDOWN_LIMITS_H_
