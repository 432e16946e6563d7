#include "cornelweir/src/replication/replicated_log.h"

#include <algorithm>

namespace cornelweir::replication::internal {

std::optional<kernel::term> replicated_log::TermAt(kernel::log_index index) const {
  if (index == base_index_) return base_term_;
  if (index < base_index_ || index > last_index()) return std::nullopt;
  return EntryAt(index).term;
}

std::vector<log_entry> replicated_log::Slice(kernel::log_index first_index, std::size_t max_entries,
                                             std::size_t max_bytes) const {
  std::vector<log_entry> slice;
  std::size_t bytes = 0;
  for (kernel::log_index index = first_index; index <= last_index() && slice.size() < max_entries;
       index = Next(index)) {
    const log_entry& entry = EntryAt(index);
    bytes += MaxEncodedBytes(entry);
    if (!slice.empty() && bytes > max_bytes) break;
    slice.push_back(entry);
  }
  return slice;
}

void replicated_log::TruncateFrom(kernel::log_index index) {
  const std::size_t kept_entries = index.value() - base_index_.value() - 1;
  if (kept_entries < entries_.size()) {
    entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(kept_entries), entries_.end());
  }
}

void replicated_log::CompactTo(kernel::log_index index) {
  if (index <= base_index_) return;
  base_term_ = EntryAt(index).term;
  entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(
                                                          index.value() - base_index_.value()));
  base_index_ = index;
}

kernel::log_index replicated_log::FirstIndexOfTerm(kernel::log_index index) const {
  const std::optional<kernel::term> entry_term = TermAt(index);
  while (index > Next(base_index_) && TermAt(kernel::log_index(index.value() - 1)) == entry_term) {
    index = kernel::log_index(index.value() - 1);
  }
  return index;
}

}  // namespace cornelweir::replication::internal
