#include "cornelweir/src/replication/replicated_log.h"

#include <algorithm>

namespace cornelweir::replication::internal {

std::optional<kernel::term> replicated_log::TermAt(kernel::log_index index) const {
  if (index == base_) return base_term_;
  if (index < base_ || index > last()) return std::nullopt;
  return At(index).term;
}

std::vector<log_entry> replicated_log::Slice(kernel::log_index from, std::size_t max_entries,
                                             std::size_t max_bytes) const {
  std::vector<log_entry> slice;
  std::size_t bytes = 0;
  for (kernel::log_index index = from; index <= last() && slice.size() < max_entries;
       index = Next(index)) {
    const log_entry& entry = At(index);
    bytes += EncodedBound(entry);
    if (!slice.empty() && bytes > max_bytes) break;
    slice.push_back(entry);
  }
  return slice;
}

void replicated_log::TruncateFrom(kernel::log_index index) {
  const std::size_t kept = index.value() - base_.value() - 1;
  if (kept < entries_.size()) {
    entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(kept), entries_.end());
  }
}

void replicated_log::MoveBase(kernel::log_index index) {
  if (index <= base_) return;
  base_term_ = At(index).term;
  entries_.erase(entries_.begin(),
                 entries_.begin() + static_cast<std::ptrdiff_t>(index.value() - base_.value()));
  base_ = index;
}

kernel::log_index replicated_log::FirstOfTerm(kernel::log_index index) const {
  const std::optional<kernel::term> wanted = TermAt(index);
  while (index > Next(base_) && TermAt(kernel::log_index(index.value() - 1)) == wanted) {
    index = kernel::log_index(index.value() - 1);
  }
  return index;
}

}  // namespace cornelweir::replication::internal
