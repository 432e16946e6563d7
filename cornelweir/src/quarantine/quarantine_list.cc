#include "cornelweir/src/quarantine/quarantine_list.h"

#include <algorithm>
#include <utility>

#include "cornelweir/src/quarantine/limits.h"

namespace cornelweir::quarantine {

std::vector<kernel::fingerprint> quarantine_list::Replace(
    const std::vector<quarantined_fingerprint>& list, kernel::time_point now) {
  std::unordered_map<kernel::fingerprint, entry> entries;
  for (const quarantined_fingerprint& listed : list) {
    if (entries.size() >= kMaxQuarantined) break;
    const auto known = entries_.find(listed.request);
    // A different end means that the request was quarantined again in the meantime.
    const bool is_unchanged = known != entries_.end() && known->second.until == listed.until;
    entries[listed.request] =
        entry{listed.until, is_unchanged ? known->second.local_end : now + kQuarantineDuration};
  }
  std::vector<kernel::fingerprint> released;
  for (const auto& [request, known] : entries_) {
    if (now < known.local_end && !entries.contains(request)) released.push_back(request);
  }
  entries_ = std::move(entries);
  return released;
}

kernel::microseconds quarantine_list::TimeLeft(kernel::fingerprint request,
                                               kernel::time_point now) const {
  const auto found = entries_.find(request);
  if (found == entries_.end()) return kernel::microseconds::zero();
  return std::max(found->second.local_end - now, kernel::microseconds::zero());
}

}  // namespace cornelweir::quarantine
