#include "cornelweir/src/storage/record.h"

#include <xxhash.h>

#include <algorithm>

#include "cornelweir/src/storage/limits.h"

namespace cornelweir::storage::internal {
namespace {

constexpr std::uint32_t kRecordMagic = 0x52435743;
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kChecksumOffset = 8;
constexpr std::size_t kHeaderChecksumOffset = 16;
// The unit in which a disk writes.
constexpr std::size_t kSectorBytes = 512;

template <class T>
void AppendInteger(T value, std::string& bytes) {
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    bytes.push_back(static_cast<char>(value >> (8 * i) & 0xFF));
  }
}

template <class T>
T ReadInteger(std::string_view bytes) {
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

bool StartsWithIntactHeader(std::string_view remaining) {
  return remaining.size() >= kRecordHeaderBytes &&
         ReadInteger<std::uint32_t>(remaining) == kRecordMagic &&
         ReadInteger<std::uint32_t>(remaining.substr(kHeaderChecksumOffset)) ==
             HeaderChecksum(remaining);
}

bool StartsWithCompleteRecord(std::string_view remaining) {
  if (!StartsWithIntactHeader(remaining)) return false;
  const std::size_t length = ReadInteger<std::uint32_t>(remaining.substr(kLengthOffset));
  if (length > remaining.size() - kRecordHeaderBytes) return false;
  return Checksum(remaining.substr(kRecordHeaderBytes, length)) ==
         ReadInteger<std::uint64_t>(remaining.substr(kChecksumOffset));
}

// Whether a later write succeeded, in which case the write at offset wasn't the last one.
bool HasCompleteRecordAfter(std::string_view content, std::size_t offset) {
  std::string magic;
  AppendInteger(kRecordMagic, magic);
  for (std::size_t position = content.find(magic, offset + 1); position != std::string_view::npos;
       position = content.find(magic, position + 1)) {
    if (StartsWithCompleteRecord(content.substr(position))) return true;
  }
  return false;
}

bool HasUnwrittenSector(std::string_view content, std::size_t begin, std::size_t end) {
  while (begin < end) {
    const std::size_t sector_end = std::min(end, (begin / kSectorBytes + 1) * kSectorBytes);
    const std::string_view sector = content.substr(begin, sector_end - begin);
    if (sector.find_first_not_of('\0') == std::string_view::npos) return true;
    begin = sector_end;
  }
  return false;
}

}  // namespace

std::string FrameRecord(std::string_view payload) {
  std::string bytes;
  bytes.reserve(kRecordHeaderBytes + payload.size());
  AppendInteger(kRecordMagic, bytes);
  AppendInteger(static_cast<std::uint32_t>(payload.size()), bytes);
  AppendInteger(Checksum(payload), bytes);
  AppendInteger(HeaderChecksum(bytes), bytes);
  bytes.append(payload);
  return bytes;
}

parsed_record ReadRecord(std::string_view content, std::size_t offset) {
  const std::string_view remaining = content.substr(offset);
  if (remaining.empty()) return {record_state::kEnd, {}};
  if (StartsWithCompleteRecord(remaining)) {
    const std::size_t length = ReadInteger<std::uint32_t>(remaining.substr(kLengthOffset));
    return {record_state::kComplete, remaining.substr(kRecordHeaderBytes, length)};
  }
  if (HasCompleteRecordAfter(content, offset)) return {record_state::kDamaged, {}};
  if (remaining.size() < kRecordHeaderBytes) return {record_state::kTorn, {}};
  if (StartsWithIntactHeader(remaining)) {
    const std::size_t length = ReadInteger<std::uint32_t>(remaining.substr(kLengthOffset));
    if (length > remaining.size() - kRecordHeaderBytes) return {record_state::kTorn, {}};
  }
  // A record of full length with wrong content is a torn write only if some of its sectors never
  // reached the disk. Otherwise data that may have been acknowledged was corrupted.
  const bool is_torn = HasUnwrittenSector(content, offset, content.size());
  return {is_torn ? record_state::kTorn : record_state::kDamaged, {}};
}

}  // namespace cornelweir::storage::internal
