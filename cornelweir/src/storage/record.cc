#include "cornelweir/src/storage/record.h"

#include <xxhash.h>

#include <algorithm>

#include "cornelweir/src/storage/limits.h"

namespace cornelweir::storage::internal {
namespace {

constexpr std::uint32_t kRecordMark = 0x52435743;
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kChecksumOffset = 8;
constexpr std::size_t kHeaderChecksumOffset = 16;
// The unit in which disks write.
constexpr std::size_t kSectorBytes = 512;

template <class T>
void PutNumber(T value, std::string& bytes) {
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    bytes.push_back(static_cast<char>(value >> (8 * i) & 0xFF));
  }
}

template <class T>
T GetNumber(std::string_view bytes) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value |= static_cast<T>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  }
  return value;
}

std::uint64_t Checksum(std::string_view bytes) { return XXH64(bytes.data(), bytes.size(), 0); }

std::uint32_t HeaderChecksum(std::string_view record) {
  return static_cast<std::uint32_t>(Checksum(record.substr(0, kHeaderChecksumOffset)));
}

bool HasIntactHeader(std::string_view rest) {
  return rest.size() >= kRecordHeaderBytes && GetNumber<std::uint32_t>(rest) == kRecordMark &&
         GetNumber<std::uint32_t>(rest.substr(kHeaderChecksumOffset)) == HeaderChecksum(rest);
}

bool IsComplete(std::string_view rest) {
  if (!HasIntactHeader(rest)) return false;
  const std::size_t length = GetNumber<std::uint32_t>(rest.substr(kLengthOffset));
  if (length > rest.size() - kRecordHeaderBytes) return false;
  return Checksum(rest.substr(kRecordHeaderBytes, length)) ==
         GetNumber<std::uint64_t>(rest.substr(kChecksumOffset));
}

// Whether a later write succeeded, which excludes that the write at offset was the last one.
bool HasRecordAfter(std::string_view content, std::size_t offset) {
  std::string mark;
  PutNumber(kRecordMark, mark);
  for (std::size_t at = content.find(mark, offset + 1); at != std::string_view::npos;
       at = content.find(mark, at + 1)) {
    if (IsComplete(content.substr(at))) return true;
  }
  return false;
}

bool HasUnwrittenSector(std::string_view content, std::size_t begin, std::size_t end) {
  while (begin < end) {
    const std::size_t next = std::min(end, (begin / kSectorBytes + 1) * kSectorBytes);
    const std::string_view sector = content.substr(begin, next - begin);
    if (sector.find_first_not_of('\0') == std::string_view::npos) return true;
    begin = next;
  }
  return false;
}

}  // namespace

std::string FrameRecord(std::string_view payload) {
  std::string bytes;
  bytes.reserve(kRecordHeaderBytes + payload.size());
  PutNumber(kRecordMark, bytes);
  PutNumber(static_cast<std::uint32_t>(payload.size()), bytes);
  PutNumber(Checksum(payload), bytes);
  PutNumber(HeaderChecksum(bytes), bytes);
  bytes.append(payload);
  return bytes;
}

read_record ReadRecord(std::string_view content, std::size_t offset) {
  const std::string_view rest = content.substr(offset);
  if (rest.empty()) return {record_state::kEnd, {}};
  if (IsComplete(rest)) {
    const std::size_t length = GetNumber<std::uint32_t>(rest.substr(kLengthOffset));
    return {record_state::kComplete, rest.substr(kRecordHeaderBytes, length)};
  }
  if (HasRecordAfter(content, offset)) return {record_state::kDamaged, {}};
  if (rest.size() < kRecordHeaderBytes) return {record_state::kTorn, {}};
  if (HasIntactHeader(rest)) {
    const std::size_t length = GetNumber<std::uint32_t>(rest.substr(kLengthOffset));
    if (length > rest.size() - kRecordHeaderBytes) return {record_state::kTorn, {}};
  }
  // A record of full length with wrong content is a torn write only if part of it never reached the
  // disk. Otherwise bytes that may have been acknowledged have changed.
  const bool torn = HasUnwrittenSector(content, offset, content.size());
  return {torn ? record_state::kTorn : record_state::kDamaged, {}};
}

}  // namespace cornelweir::storage::internal
