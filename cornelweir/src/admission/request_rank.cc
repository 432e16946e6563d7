#include "cornelweir/src/admission/request_rank.h"

#include <algorithm>

namespace cornelweir::admission {

std::optional<request_rank> RankOfCall(std::vector<request_rank> running) {
  if (running.empty()) return std::nullopt;
  kernel::time_point latest_deadline = running.front().deadline;
  for (const request_rank& rank : running) {
    latest_deadline = std::max(latest_deadline, rank.deadline);
  }
  const auto median = running.begin() + static_cast<std::ptrdiff_t>((running.size() - 1) / 2);
  std::nth_element(running.begin(), median, running.end());
  request_rank rank = *median;
  rank.deadline = latest_deadline;
  return rank;
}

}  // namespace cornelweir::admission
