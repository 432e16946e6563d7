#ifndef CORNELWEIR_SRC_REPLICATION_REPLICATED_LOG_H_
#define CORNELWEIR_SRC_REPLICATION_REPLICATED_LOG_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/replication/log_entry.h"

namespace cornelweir::replication::internal {

// The log entries after a base index. The entry at the base itself is compacted, but its term is
// known.
class replicated_log {
 public:
  replicated_log() = default;
  replicated_log(kernel::log_index base_index, kernel::term base_term)
      : base_index_(base_index), base_term_(base_term) {}

  kernel::log_index base_index() const { return base_index_; }
  kernel::log_index last_index() const {
    return kernel::log_index(base_index_.value() + entries_.size());
  }
  kernel::term last_term() const { return entries_.empty() ? base_term_ : entries_.back().term; }

  // Returns the term of the entry at index; empty if index is before the base or after the last
  // entry.
  std::optional<kernel::term> TermAt(kernel::log_index index) const;

  // Returns the entry at index, which must be after the base and not after the last entry.
  const log_entry& EntryAt(kernel::log_index index) const {
    return entries_[index.value() - base_index_.value() - 1];
  }

  // Returns at most max_entries entries from first_index on, with an encoded size of at most
  // max_bytes unless the first entry alone is larger.
  std::vector<log_entry> Slice(kernel::log_index first_index, std::size_t max_entries,
                               std::size_t max_bytes) const;

  // Appends an entry, whose index must follow the last one.
  void Append(log_entry entry) { entries_.push_back(std::move(entry)); }

  // Removes the entries from index on.
  void TruncateFrom(kernel::log_index index);

  // Removes the entries up to and including index, which becomes the base. The log must contain it.
  void CompactTo(kernel::log_index index);

  // Returns the first index of the run of entries that have the same term as the entry at index.
  kernel::log_index FirstIndexOfTerm(kernel::log_index index) const;

 private:
  kernel::log_index base_index_;
  kernel::term base_term_;
  std::deque<log_entry> entries_;
};

}  // namespace cornelweir::replication::internal

#endif  // CORNELWEIR_SRC_REPLICATION_REPLICATED_LOG_H_
