#include "programs/cornelweirctl/printable.h"

#include <cstddef>

namespace cornelweir::ctl {
namespace {

constexpr unsigned kDelete = 0x7f;
// The first byte of the two-byte forms of U+0080 to U+00BF, and the last second byte of a control
// character among them.
constexpr unsigned kControlLead = 0xc2;
constexpr unsigned kLastControl = 0x9f;

unsigned ByteAt(std::string_view text, std::size_t i) {
  return i < text.size() ? static_cast<unsigned char>(text[i]) : 0;
}

void AppendEscaped(unsigned byte, std::string& result) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  result += "\\x";
  result += kDigits[byte >> 4U];
  result += kDigits[byte & 0xfU];
}

}  // namespace

std::string Printable(std::string_view text) {
  std::string result;
  result.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    const unsigned byte = ByteAt(text, i);
    const unsigned next = ByteAt(text, i + 1);
    if (byte < ' ' || byte == kDelete) {
      AppendEscaped(byte, result);
    } else if (byte == kControlLead && next > kDelete && next <= kLastControl) {
      AppendEscaped(byte, result);
      AppendEscaped(next, result);
      ++i;
    } else {
      result += text[i];
    }
  }
  return result;
}

}  // namespace cornelweir::ctl
