#ifndef CORNELWEIR_SRC_STORAGE_RECORD_H_
#define CORNELWEIR_SRC_STORAGE_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cornelweir::storage::internal {

// A record is a mark, the length of its payload, the xxHash64 of the payload, the lower half of the
// xxHash64 of these three, and the payload; numbers are little-endian. The header has a checksum of
// its own because a changed length would otherwise look like a record that was written in part.
inline constexpr std::size_t kRecordHeaderBytes = 20;

std::string FrameRecord(std::string_view payload);

enum class record_state : std::uint8_t {
  kComplete,
  // The end of the file.
  kEnd,
  // Written only in part: the file ends before the record does, or blocks of it were never written.
  kTorn,
  // Anything else.
  kDamaged
};

struct read_record {
  record_state state = record_state::kEnd;
  std::string_view payload;
};

// Reads the record at offset of the content of a file.
read_record ReadRecord(std::string_view content, std::size_t offset);

}  // namespace cornelweir::storage::internal

#endif  // CORNELWEIR_SRC_STORAGE_RECORD_H_
