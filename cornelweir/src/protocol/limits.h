#ifndef CORNELWEIR_SRC_PROTOCOL_LIMITS_H_
#define CORNELWEIR_SRC_PROTOCOL_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "cornelweir/kernel.h"

namespace cornelweir::protocol {

// Raised when a message changes so that older processes would misread it.
inline constexpr std::uint32_t kProtocolVersion = 2;
// Commands of one daemon that a control host works on at a time; more are refused.
inline constexpr std::size_t kMaxSubmissionsInFlight = 4'096;
// A command that has no outcome by then is given up by the daemon; its outcome is unknown.
inline constexpr kernel::milliseconds kSubmissionTimeout{2'000};
inline constexpr kernel::milliseconds kHeartbeatPeriod{500};
inline constexpr kernel::milliseconds kRenewPeriod{1'000};

// Between a control host and a daemon without other messages. Three lost ones are noticed well
// within the time in which a change must be in force.
inline constexpr kernel::milliseconds kFleetHeartbeat{200};
inline constexpr kernel::milliseconds kFleetSilence{700};
// A control host that has not heard for so long of a round that a majority confirmed says that it
// is not current.
inline constexpr kernel::milliseconds kCurrentFor{500};
// Pieces in which bodies travel between daemons, so that other requests get between them.
inline constexpr std::size_t kBodyPieceBytes = std::size_t{64} << 10;
// Without any message for so long, a link with requests on it is probed, and given up after as
// long again.
inline constexpr kernel::milliseconds kLinkProbeAfter{200};
inline constexpr kernel::milliseconds kLinkSilence{600};

}  // namespace cornelweir::protocol

#endif  // CORNELWEIR_SRC_PROTOCOL_LIMITS_H_
