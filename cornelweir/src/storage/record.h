#ifndef CORNELWEIR_SRC_STORAGE_RECORD_H_
#define CORNELWEIR_SRC_STORAGE_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cornelweir::storage::internal {

// A record consists of a magic number, the length of its payload, the xxHash64 of the payload, the
// lower half of the xxHash64 of these three fields, and the payload; integers are little-endian.
// The header has its own checksum because a corrupted length would otherwise look like a record
// that was written only in part.
inline constexpr std::size_t kRecordHeaderBytes = 20;

// Returns a payload with the header of its record in front.
std::string FrameRecord(std::string_view payload);

enum class record_state : std::uint8_t {
  kComplete,
  // The file ends at the offset; there is no record.
  kEnd,
  // Written only in part: the file ends within the record, or sectors of it were never written.
  kTorn,
  // Corrupted in any other way.
  kDamaged
};

// The state of a record and its payload, which is empty unless the record is complete.
struct parsed_record {
  record_state state = record_state::kEnd;
  std::string_view payload;
};

// Reads the record at offset in the content of a file. The payload refers to the content.
parsed_record ReadRecord(std::string_view content, std::size_t offset);

}  // namespace cornelweir::storage::internal

#endif  // CORNELWEIR_SRC_STORAGE_RECORD_H_
