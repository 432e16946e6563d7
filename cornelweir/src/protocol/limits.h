#ifndef CORNELWEIR_SRC_PROTOCOL_LIMITS_H_
#define CORNELWEIR_SRC_PROTOCOL_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "cornelweir/kernel.h"

namespace cornelweir::protocol {

// Incremented when a message changes incompatibly.
inline constexpr std::uint32_t kProtocolVersion = 3;
// Commands of one daemon that a control host handles concurrently. Further ones are refused.
inline constexpr std::size_t kMaxSubmissionsInFlight = 4'096;
// A daemon abandons a command without an outcome after this time; the outcome is then unknown.
inline constexpr kernel::milliseconds kSubmissionTimeout{2'000};
inline constexpr kernel::milliseconds kHeartbeatPeriod{500};
inline constexpr kernel::milliseconds kRenewPeriod{1'000};

// Heartbeat period and timeout of a link between a control host and a daemon. Three lost heartbeats
// are detected well within the time in which a change must take effect.
inline constexpr kernel::milliseconds kFleetHeartbeatPeriod{200};
inline constexpr kernel::milliseconds kFleetTimeout{700};
// A control host that has not learned of a round confirmed by a majority for this long reports that
// it is not current.
inline constexpr kernel::milliseconds kMaxConfirmationAge{500};
// Size of the parts into which larger bytes are split: a part fits into one log entry and message
// and delays what is sent behind it on the link of a daemon by 0.3 s at most.
inline constexpr std::size_t kPartBytes = std::size_t{192} << 10;
// Largest sum of the parts of deflated bytes, such as a policy. It stays below the send queue of a
// link and below the backlog of the leader's log.
inline constexpr std::size_t kMaxPartedBytes = std::size_t{6} << 20;
// Largest body of a request that is sent on credit, and largest body of a response that is received
// on a link.
inline constexpr std::size_t kMaxLinkBodyBytes = std::size_t{32} << 20;
// A link with pending requests is probed after kLinkProbeDelay without any message, and not used
// for new requests after kLinkTimeout without any message. It is closed then if no results are
// awaited of requests that must not run twice, and otherwise after kMaxSilence more.
inline constexpr kernel::milliseconds kLinkProbeDelay{200};
inline constexpr kernel::milliseconds kLinkTimeout{600};
inline constexpr kernel::milliseconds kMaxSilence{5'000};

}  // namespace cornelweir::protocol

#endif  // CORNELWEIR_SRC_PROTOCOL_LIMITS_H_
