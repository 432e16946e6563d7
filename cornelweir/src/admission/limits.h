#ifndef CORNELWEIR_SRC_ADMISSION_LIMITS_H_
#define CORNELWEIR_SRC_ADMISSION_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// One in so many admissions from the queue goes to a lower class even while a higher one waits.
// Callers choose the class themselves, so a strict order would let some tenants starve others.
inline constexpr std::int64_t kLowerClassTurn = 8;

// The lease of an announced upstream, after which every daemon that is connected has learned of a
// change to the membership.
inline constexpr kernel::microseconds kShareLease = std::chrono::seconds(5);
// Memberships of the last lease time that are remembered.
inline constexpr std::size_t kMaxRememberedMemberships = 16;

// How long requests hold a slot, before the first one has ended.
inline constexpr kernel::microseconds kAssumedRunTime = std::chrono::milliseconds(50);
// Weight of one run in the mean, as a divisor.
inline constexpr std::int64_t kMovingAverageDivisor = 16;
// A request with less than this part of the mean run time left is not worth starting.
inline constexpr std::int64_t kLeastRunTimePercent = 60;
// Requests of a route after which it is known who calls it, and the time in requests after which a
// caller that no longer calls it is forgotten.
inline constexpr std::uint64_t kCallersKnownAfter = 24;
inline constexpr std::uint64_t kCallerMemory = 128;

// The run time that a queued request is planned with, as a part of the mean: the mean hides a long
// tail.
inline constexpr std::int64_t kPlannedRunTimePercent = 120;

// Bytes of large bodies on their way from one daemon to all others together. The least keeps two
// pieces on the way: at 2.6 Mbit/s a small message waits for 50 ms behind them.
inline constexpr std::size_t kMinWindowBytes = std::size_t{16} << 10;
inline constexpr std::size_t kMaxWindowBytes = std::size_t{1} << 20;
inline constexpr std::size_t kMinPieceBytes = std::size_t{8} << 10;
inline constexpr std::size_t kMaxPieceBytes = std::size_t{64} << 10;
inline constexpr std::size_t kPiecesPerWindow = 4;
// A piece that arrives sooner did not wait on the way; one that takes longer did.
inline constexpr kernel::microseconds kUndelayedTransfer = std::chrono::milliseconds(25);
inline constexpr kernel::microseconds kDelayedTransfer = std::chrono::milliseconds(70);
// The rate is measured over spans of this length, or shorter if nothing is left to send.
inline constexpr kernel::microseconds kRateSpan = std::chrono::milliseconds(250);
inline constexpr double kRateWeight = 0.25;

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_LIMITS_H_
