#include "programs/cornelweirctl/number.h"

#include <charconv>

#include "programs/cornelweirctl/ctl_error.h"

namespace cornelweir::ctl {

boost::leaf::result<std::uint64_t> ParseNumber(const std::string& text, const std::string& what) {
  std::uint64_t number = 0;
  const char* last = text.data() + text.size();
  const auto [end, status] = std::from_chars(text.data(), last, number);
  if (status == std::errc{} && end == last) return number;
  return boost::leaf::new_error(
      ctl_error{exit_code::kUsage, "'" + text + "' is not " + what + " (a whole number)"});
}

}  // namespace cornelweir::ctl
