#ifndef CORNELWEIR_SRC_ADMISSION_TRANSFER_LIMITS_H_
#define CORNELWEIR_SRC_ADMISSION_TRANSFER_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// The credit that a daemon grants to all senders together takes its link about this long. Small
// messages wait at most that long behind bodies, and a link stays busy although the credit reaches
// the senders some milliseconds later.
inline constexpr kernel::microseconds kCreditTime = std::chrono::milliseconds(30);
// The credit while the rate of the link is unknown: 32 ms at 6 Mbit/s.
inline constexpr std::size_t kInitialCreditBytes = std::size_t{24} << 10;
// The minimum lets two pieces be on the way, so that the link does not idle between them.
inline constexpr std::size_t kMinCreditBytes = std::size_t{16} << 10;
inline constexpr std::size_t kMaxCreditBytes = std::size_t{1} << 20;
// Bounds of a single grant. A grant of the minimum takes 11 ms at 6 Mbit/s.
inline constexpr std::size_t kMinGrantBytes = std::size_t{8} << 10;
inline constexpr std::size_t kMaxGrantBytes = std::size_t{64} << 10;
inline constexpr std::size_t kGrantsPerCredit = 3;
// A sender is stalled if nothing of its credit arrives for the delay of the network and this many
// times the credit time: it is paused, gone or behind a slow link of its own. Its credit no longer
// keeps others from using the link.
inline constexpr int kStallFactor = 2;
// Bound of all credit on the way, in multiples of kCreditTime, and of that including stalled
// senders, in multiples of what others may have.
inline constexpr int kMaxCreditFactor = 3;

// Bodies that are announced and not complete, and the total size of those of which a part has been
// granted. Further ones wait, or are refused beyond the first bound.
inline constexpr std::size_t kMaxInboundTransfers = 512;
inline constexpr std::size_t kMaxStartedBodyBytes = std::size_t{24} << 20;

// The credit time is adjusted at this interval. It grows if a grant waited for less than the first
// time behind others on the link, and shrinks if all waited for longer than the second. With two
// grants of the minimum on the way at 6 Mbit/s, each waits for about 8 ms.
inline constexpr kernel::microseconds kCreditAdjustInterval = std::chrono::milliseconds(100);
inline constexpr kernel::microseconds kMinLinkQueueTime = std::chrono::milliseconds(4);
inline constexpr kernel::microseconds kMaxLinkQueueTime = std::chrono::milliseconds(25);
// The part of the time in the queue by which the estimate of the delay without a queue rises, so
// that it follows a change of the network within minutes.
inline constexpr int kBaseDelayRiseDivisor = 512;

// A sample of the arrival rate covers at least this time, or at least these bytes if the link is
// idle before.
inline constexpr kernel::microseconds kArrivalSampleInterval = std::chrono::milliseconds(100);
inline constexpr std::size_t kMinArrivalSampleBytes = std::size_t{32} << 10;
// Weights of a sample above and below the average. A sender that pauses makes single samples low
// although the link is as fast as before; nothing but a faster link makes them high.
inline constexpr double kHigherRateWeight = 0.5;
inline constexpr double kLowerRateWeight = 0.1;
// One byte in this many of large responses may go to responses that are late.
inline constexpr std::size_t kLateByteInterval = 8;
// Bound of what late responses may be sent at once: a long one, not many.
inline constexpr std::size_t kMaxLateCredit = std::size_t{1} << 20;
// A queue of responses that has not been empty for this long is a standing one: the queue that a
// burst leaves behind a link is shorter, since responses in time wait for about a second at most.
inline constexpr kernel::microseconds kStandingQueueTime = std::chrono::seconds(2);
// More large responses are made than a link can carry, so that the shortest can be sent: so many
// may be dropped for each one that is sent, and so many more in the decay time. Each one is a run
// in vain.
inline constexpr double kMaxDropsPerResponse = 2;
inline constexpr double kMinDrops = 4;
inline constexpr kernel::microseconds kDropDecayTime = std::chrono::seconds(4);

// An older rate is not used. A rate that was measured too low could otherwise refuse every body,
// and so would never be measured again.
inline constexpr kernel::microseconds kMaxRateAge = std::chrono::seconds(2);

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_TRANSFER_LIMITS_H_
