#ifndef CORNELWEIR_SRC_STORAGE_SEGMENT_NAME_H_
#define CORNELWEIR_SRC_STORAGE_SEGMENT_NAME_H_

#include <cstdint>
#include <optional>
#include <string>

namespace cornelweir::storage::internal {

// The file name of a segment of the log. The names sort in the order of the numbers.
std::string SegmentName(std::uint64_t number);

// The number of the segment with a file name; empty if the file is no segment.
std::optional<std::uint64_t> SegmentNumber(const std::string& name);

}  // namespace cornelweir::storage::internal

#endif  // CORNELWEIR_SRC_STORAGE_SEGMENT_NAME_H_
