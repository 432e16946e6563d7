#ifndef CORNELWEIR_SRC_REPLICATION_REPLICATED_LOG_H_
#define CORNELWEIR_SRC_REPLICATION_REPLICATED_LOG_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/replication/log_entry.h"

namespace cornelweir::replication::internal {

// The entries after a base position. The entry at the base is gone, but its term is known.
class replicated_log {
 public:
  replicated_log() = default;
  replicated_log(kernel::log_index base, kernel::term base_term)
      : base_(base), base_term_(base_term) {}

  kernel::log_index base() const { return base_; }
  kernel::log_index last() const { return kernel::log_index(base_.value() + entries_.size()); }
  kernel::term last_term() const { return entries_.empty() ? base_term_ : entries_.back().term; }

  // The term of the entry at index, or nothing if it is neither held nor the base.
  std::optional<kernel::term> TermAt(kernel::log_index index) const;

  // The entry at index, which must be after the base and not after the last.
  const log_entry& At(kernel::log_index index) const {
    return entries_[index.value() - base_.value() - 1];
  }

  // Entries from index on, at most max_entries; encoded at most max_bytes unless the first entry
  // alone has more.
  std::vector<log_entry> Slice(kernel::log_index from, std::size_t max_entries,
                               std::size_t max_bytes) const;

  // Adds an entry that has the index after the last.
  void Append(log_entry entry) { entries_.push_back(std::move(entry)); }

  // Removes the entries from index on.
  void TruncateFrom(kernel::log_index index);

  // Removes the entries up to and including index, which must be held.
  void MoveBase(kernel::log_index index);

  // The first index of the run of entries that have the same term as the entry at index.
  kernel::log_index FirstOfTerm(kernel::log_index index) const;

 private:
  kernel::log_index base_;
  kernel::term base_term_;
  std::deque<log_entry> entries_;
};

}  // namespace cornelweir::replication::internal

#endif  // CORNELWEIR_SRC_REPLICATION_REPLICATED_LOG_H_
