#include "programs/cornelweirctl/utc_time.h"

#include <ctime>

namespace cornelweir::ctl {

std::string UtcTime(std::int64_t since_epoch_ms) {
  const std::time_t seconds = since_epoch_ms / 1000;
  std::tm parts{};
  if (gmtime_r(&seconds, &parts) == nullptr) return std::to_string(since_epoch_ms) + " ms";
  char text[32];
  const std::size_t length = std::strftime(text, sizeof(text), "%Y-%m-%d %H:%M:%S", &parts);
  return std::string(text, length);
}

}  // namespace cornelweir::ctl
