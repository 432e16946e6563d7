#ifndef CORNELWEIR_SRC_QUARANTINE_LIMITS_H_
#define CORNELWEIR_SRC_QUARANTINE_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::quarantine {

inline constexpr kernel::microseconds kQuarantineDuration = std::chrono::minutes(10);
// How long a recorded crash counts. Longer than a quarantine, so that a request that is sent again
// after its quarantine is quarantined again after one more crash.
inline constexpr kernel::microseconds kCrashRetention = std::chrono::hours(1);
// Maximum number of requests with a recorded crash. Each takes about 400 bytes of memory.
inline constexpr std::size_t kMaxSuspects = 10'000;
// The same at one daemon, for the crashes of one service.
inline constexpr std::size_t kMaxDaemonSuspects = 2'000;
inline constexpr std::size_t kMaxQuarantined = 1'000;
// Maximum number of requests of one crash that are recorded. Upstreams have 6 to 20 slots.
inline constexpr std::size_t kMaxReportedRequests = 256;

// Minimum number of crashes, of different incarnations, before a request is quarantined.
inline constexpr std::size_t kMinCrashes = 2;
// Number of crashes after which a request is quarantined regardless of the other requests in
// progress. Limits the damage of a request that always runs together with the same others.
inline constexpr std::size_t kSufficientCrashes = 4;
// The same at a daemon, where a request that an upstream completes between two crashes does not
// reach this number.
inline constexpr std::size_t kDaemonSufficientCrashes = 3;
// Crashes stored per request, so that a late duplicate of a report is detected.
inline constexpr std::size_t kMaxStoredCrashes = 16;
// A crash with n requests in progress is evidence of kEvidencePerCrash / n against each of them.
inline constexpr std::int64_t kEvidencePerCrash = 1'000;
// Two crashes are sufficient if at most 8 requests were in progress at each.
inline constexpr std::int64_t kMinQuarantineEvidence = kEvidencePerCrash / 4;

// All connections of a process that crashes break within this time, and it refuses new ones.
inline constexpr kernel::microseconds kCrashWindow = std::chrono::milliseconds(200);
// Time after the first broken connection until the upstream is probed, so that the others of a
// crash have broken, too. The results of broken requests wait for the probe.
inline constexpr kernel::microseconds kCrashProbeDelay = std::chrono::milliseconds(20);
// A process that replaces one that crashed announces itself within this time.
inline constexpr kernel::microseconds kRestartWindow = std::chrono::seconds(5);

// A request that completed on an upstream within this time before a crash is not a suspect. The
// time is short, so that a request that has become harmful is reported soon.
inline constexpr kernel::microseconds kCompletionRetention = std::chrono::seconds(10);
// Number of stored completions; a power of two.
inline constexpr std::size_t kCompletionSlots = 1'024;

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_LIMITS_H_
