#include "cornelweir/src/quarantine/quarantine_list.h"

#include <utility>

#include "cornelweir/src/quarantine/limits.h"

namespace cornelweir::quarantine {

void quarantine_list::Replace(const std::vector<quarantined_fingerprint>& list,
                              kernel::time_point now) {
  std::unordered_map<kernel::fingerprint, entry> entries;
  for (const quarantined_fingerprint& listed : list) {
    if (entries.size() >= kMaxQuarantined) break;
    const auto known = entries_.find(listed.request);
    // A different end means that the request was quarantined again in the meantime.
    const bool is_unchanged = known != entries_.end() && known->second.until == listed.until;
    entries[listed.request] =
        entry{listed.until, is_unchanged ? known->second.local_end : now + kQuarantineDuration};
  }
  entries_ = std::move(entries);
}

bool quarantine_list::Contains(kernel::fingerprint request, kernel::time_point now) const {
  const auto found = entries_.find(request);
  return found != entries_.end() && now < found->second.local_end;
}

}  // namespace cornelweir::quarantine
