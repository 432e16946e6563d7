#ifndef CORNELWEIR_SRC_STORAGE_LIMITS_H_
#define CORNELWEIR_SRC_STORAGE_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace cornelweir::storage {

// A record must be readable by the codec, whose limit is 1 MiB.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{1} << 20;
// Bytes after which a batch of entries is split into a further record. With one entry of the
// largest size added, the record stays below kMaxRecordBytes.
inline constexpr std::size_t kRecordSplitBytes = std::size_t{256} << 10;
inline constexpr std::size_t kRecordSplitEntries = 1024;
// A segment that has reached this size gets no further records.
inline constexpr std::uint64_t kSegmentBytes = std::uint64_t{8} << 20;
inline constexpr std::size_t kSnapshotPieceBytes = std::size_t{256} << 10;
inline constexpr std::uint64_t kMaxSnapshotBytes = std::uint64_t{256} << 20;
// Raised when files change such that earlier code would misread them.
inline constexpr std::uint32_t kFormatVersion = 1;

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_LIMITS_H_
