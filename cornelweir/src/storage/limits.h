#ifndef CORNELWEIR_SRC_STORAGE_LIMITS_H_
#define CORNELWEIR_SRC_STORAGE_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::storage {

// The payload of a record, which the codec must be able to decode: its limit is 1 MiB.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{1} << 20;
// Encoded size above which a batch of entries continues in another record. Even with one more entry
// of the largest size, a record stays below kMaxRecordBytes.
inline constexpr std::size_t kRecordSplitBytes = std::size_t{256} << 10;
inline constexpr std::size_t kRecordSplitEntries = 1024;
// Default of store_options::segment_bytes.
inline constexpr std::uint64_t kSegmentBytes = std::uint64_t{8} << 20;
inline constexpr std::size_t kSnapshotPieceBytes = std::size_t{256} << 10;
inline constexpr std::uint64_t kMaxSnapshotBytes = std::uint64_t{256} << 20;
// Incremented when the file format changes in a way that earlier code would misread.
inline constexpr std::uint32_t kFormatVersion = 1;

// Bounds of the delay between two attempts to use storage that failed. A host takes part again well
// within 3 s after its disk takes writes.
inline constexpr kernel::milliseconds kMinRetryDelay{50};
inline constexpr kernel::milliseconds kMaxRetryDelay{500};
// Storage that fails again within this time after it recovered is unstable: its delay grows
// further, so that a host whose disk has room for moments only reads its log and logs its faults
// less often.
inline constexpr kernel::milliseconds kStablePeriod{5'000};
inline constexpr kernel::milliseconds kMaxUnstableRetryDelay{2'000};
// Period of the log lines about storage that keeps failing.
inline constexpr kernel::milliseconds kOutageReportPeriod{60'000};

// Room that snapshots leave to the log: two segments.
inline constexpr std::uint64_t kReservedBytes = 2 * kSegmentBytes;
// Room below which operators are warned, and above which the warning ends.
inline constexpr std::uint64_t kLowSpaceBytes = std::uint64_t{48} << 20;
inline constexpr std::uint64_t kEnoughSpaceBytes = std::uint64_t{64} << 20;

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_LIMITS_H_
