#include "cornelweir/src/codec/direct_cbor.h"

namespace cornelweir::codec::internal {

void AppendHead(cbor_type type, std::uint64_t value, std::string& out) {
  constexpr unsigned kTypeShift = 5;
  constexpr unsigned kMaxShortValue = 23;
  const unsigned type_bits = static_cast<unsigned>(type) << kTypeShift;
  if (value <= kMaxShortValue) {
    out += static_cast<char>(type_bits | value);
    return;
  }
  // The shortest of 1, 2, 4 and 8 bytes.
  unsigned size_code = 0;
  while (size_code < 3 && value >> (8U << size_code) != 0) ++size_code;
  out += static_cast<char>(type_bits | (kMaxShortValue + 1 + size_code));
  for (unsigned shift = 8U << size_code; shift > 0;) {
    shift -= 8;
    out += static_cast<char>((value >> shift) & 0xffU);
  }
}

void AppendText(std::string_view text, std::string& out) {
  AppendHead(cbor_type::kText, text.size(), out);
  out += text;
}

bool FindType(cbor_reader reader, std::string_view& type) {
  cbor_head head;
  if (!reader.ReadHead(head) || head.type != cbor_type::kMap) return false;
  for (std::uint64_t i = 0; i < head.value; ++i) {
    std::string_view name;
    std::string_view skipped;
    if (!reader.ReadText(name)) return false;
    if (name == "type") return reader.ReadText(type);
    if (!reader.SkipValue(skipped)) return false;
  }
  return false;
}

}  // namespace cornelweir::codec::internal
