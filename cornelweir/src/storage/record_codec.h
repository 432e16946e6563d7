#ifndef CORNELWEIR_SRC_STORAGE_RECORD_CODEC_H_
#define CORNELWEIR_SRC_STORAGE_RECORD_CODEC_H_

#include <boost/leaf.hpp>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <utility>

#include "cornelweir/src/codec/cbor.h"
#include "cornelweir/src/storage/limits.h"
#include "cornelweir/src/storage/record.h"
#include "cornelweir/src/storage/storage_error.h"

namespace cornelweir::storage::internal {

inline boost::leaf::error_id MakeError(storage_fault fault, const std::filesystem::path& path,
                                       std::uint64_t offset = 0) {
  return boost::leaf::new_error(
      storage_error{fault, path.string(), offset, 0, storage_call::kNone});
}

// Encodes a value as a record. Fails with kTooLarge above kMaxRecordBytes.
template <class T>
boost::leaf::result<std::string> EncodeRecord(const T& value, const std::filesystem::path& path) {
  const std::string payload = codec::Encode(value);
  if (payload.size() > kMaxRecordBytes) return MakeError(storage_fault::kTooLarge, path);
  return FrameRecord(payload);
}

// Decodes the payload of a record. Its checksum is correct, so a payload that can't be decoded was
// written by another version of the code; fails with kInconsistent then.
template <class T>
boost::leaf::result<T> DecodeRecord(std::string_view payload, const std::filesystem::path& path,
                                    std::uint64_t offset) {
  boost::leaf::result<T> decoded = codec::Decode<T>(payload);
  if (!decoded) return MakeError(storage_fault::kInconsistent, path, offset);
  return std::move(decoded.value());
}

}  // namespace cornelweir::storage::internal

#endif  // CORNELWEIR_SRC_STORAGE_RECORD_CODEC_H_
