#include "cornelweir/src/quarantine/suspect_filter.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace cornelweir::quarantine {

static_assert((kCompletionSlots & (kCompletionSlots - 1)) == 0,
              "slots are indexed by the low bits of a fingerprint");

namespace internal {

std::size_t SlotOf(kernel::fingerprint request) {
  return static_cast<std::size_t>(request.value() & (kCompletionSlots - 1));
}

}  // namespace internal

void suspect_filter::OnCompleted(kernel::fingerprint request, kernel::time_point now) {
  completions_[internal::SlotOf(request)] = {request, now};
}

std::vector<kernel::fingerprint> suspect_filter::Suspects(
    const std::vector<kernel::fingerprint>& in_progress, kernel::time_point now) const {
  std::vector<kernel::fingerprint> suspects;
  std::copy_if(in_progress.begin(), in_progress.end(), std::back_inserter(suspects),
               [&](kernel::fingerprint request) {
                 const completion& stored = completions_[internal::SlotOf(request)];
                 return stored.request != request || !stored.completed_at ||
                        now - *stored.completed_at >= kCompletionRetention;
               });
  return suspects;
}

}  // namespace cornelweir::quarantine
