#ifndef CORNELWEIR_SRC_PROTOCOL_LIMITS_H_
#define CORNELWEIR_SRC_PROTOCOL_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "cornelweir/kernel.h"

namespace cornelweir::protocol {

// Raised when a message changes so that older processes would misread it.
inline constexpr std::uint32_t kProtocolVersion = 1;
// Commands of one daemon that a control host works on at a time; more are refused.
inline constexpr std::size_t kMaxSubmissionsInFlight = 4'096;
// A command that has no outcome by then is given up by the daemon; its outcome is unknown.
inline constexpr kernel::milliseconds kSubmissionTimeout{2'000};
inline constexpr kernel::milliseconds kHeartbeatPeriod{500};
inline constexpr kernel::milliseconds kRenewPeriod{1'000};

}  // namespace cornelweir::protocol

#endif  // CORNELWEIR_SRC_PROTOCOL_LIMITS_H_
