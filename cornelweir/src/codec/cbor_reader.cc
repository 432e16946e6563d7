#include "cornelweir/src/codec/cbor_reader.h"

#include "cornelweir/src/codec/limits.h"

namespace cornelweir::codec::internal {
namespace {

// Above this, the low bits of the first byte tell how many bytes follow with the number.
constexpr unsigned kMaxShortValue = 23;
constexpr unsigned kMaxValueCode = 27;
constexpr unsigned kTypeShift = 5;
constexpr unsigned kValueMask = 0x1f;
constexpr unsigned kNullByte = 0xf6;

}  // namespace

bool cbor_reader::ReadHead(cbor_head& head) {
  if (bytes_.empty()) return false;
  const unsigned first = static_cast<unsigned char>(bytes_.front());
  head.type = static_cast<cbor_type>(first >> kTypeShift);
  const unsigned code = first & kValueMask;
  bytes_.remove_prefix(1);
  if (code <= kMaxShortValue) {
    head.value = code;
    return true;
  }
  if (code > kMaxValueCode) return false;
  const std::size_t size = std::size_t{1} << (code - kMaxShortValue - 1);
  if (bytes_.size() < size) return false;
  head.value = 0;
  for (std::size_t i = 0; i < size; ++i) {
    head.value = head.value << 8U | static_cast<unsigned char>(bytes_[i]);
  }
  bytes_.remove_prefix(size);
  return true;
}

bool cbor_reader::ReadContent(std::uint64_t size, std::string_view& content) {
  if (size > bytes_.size()) return false;
  content = bytes_.substr(0, size);
  bytes_.remove_prefix(size);
  return true;
}

bool cbor_reader::ReadText(std::string_view& text) {
  cbor_head head;
  return ReadHead(head) && head.type == cbor_type::kText && ReadContent(head.value, text);
}

bool cbor_reader::SkipNull() {
  if (bytes_.empty() || static_cast<unsigned char>(bytes_.front()) != kNullByte) return false;
  bytes_.remove_prefix(1);
  return true;
}

bool cbor_reader::SkipValue(std::string_view& skipped) {
  const std::string_view before = bytes_;
  if (!Skip(0)) return false;
  skipped = before.substr(0, before.size() - bytes_.size());
  return true;
}

bool cbor_reader::Skip(std::size_t depth) {
  cbor_head head;
  if (depth > kMaxNesting || !ReadHead(head)) return false;
  std::string_view content;
  switch (head.type) {
    case cbor_type::kUnsigned:
    case cbor_type::kNegative:
    case cbor_type::kSimple:
      return true;
    case cbor_type::kBytes:
    case cbor_type::kText:
      return ReadContent(head.value, content);
    case cbor_type::kArray:
    case cbor_type::kMap:
      for (std::uint64_t i = 0; i < head.value; ++i) {
        if (head.type == cbor_type::kMap && !ReadText(content)) return false;
        if (!Skip(depth + 1)) return false;
      }
      return true;
    case cbor_type::kTag:
      return false;
  }
  return false;
}

}  // namespace cornelweir::codec::internal
