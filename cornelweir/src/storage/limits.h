#ifndef CORNELWEIR_SRC_STORAGE_LIMITS_H_
#define CORNELWEIR_SRC_STORAGE_LIMITS_H_

#include <cstddef>
#include <cstdint>

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

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_LIMITS_H_
