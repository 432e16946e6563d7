#include "cornelweir/src/storage/segment_name.h"

#include <charconv>
#include <string_view>
#include <system_error>

namespace cornelweir::storage::internal {
namespace {

constexpr std::string_view kSegmentPrefix = "log-";
constexpr int kSegmentNumberDigits = 20;

}  // namespace

std::string SegmentName(std::uint64_t number) {
  std::string digits = std::to_string(number);
  digits.insert(0, kSegmentNumberDigits - digits.size(), '0');
  return std::string(kSegmentPrefix) + digits;
}

std::optional<std::uint64_t> SegmentNumber(const std::string& name) {
  if (name.size() != kSegmentPrefix.size() + kSegmentNumberDigits ||
      !name.starts_with(kSegmentPrefix)) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* const begin = name.data() + kSegmentPrefix.size();
  const char* const end = name.data() + name.size();
  const auto parsed = std::from_chars(begin, end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

}  // namespace cornelweir::storage::internal
