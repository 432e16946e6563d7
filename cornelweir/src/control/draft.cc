#include "cornelweir/src/control/draft.h"

#include <algorithm>
#include <set>
#include <utility>

#include "cornelweir/src/control/limits.h"

namespace cornelweir::control {
namespace internal {

bool KindMatches(const row_edit& edit) {
  return !edit.content || edit.content->index() == static_cast<std::size_t>(edit.key.kind);
}

// Returns the faults of a change that do not depend on the contents of the draft.
std::vector<table::table_fault> ValidateEdits(const std::vector<row_edit>& edits) {
  std::vector<table::table_fault> faults;
  if (edits.size() > kMaxEditsPerChange) {
    faults.push_back({{}, "", "a change has at most 1000 edits"});
    return faults;
  }
  std::set<table::row_key> seen;
  for (const row_edit& edit : edits) {
    if (!KindMatches(edit)) faults.push_back({edit.key, "", "the content is of another kind"});
    if (!seen.insert(edit.key).second) faults.push_back({edit.key, "", "the row is edited twice"});
  }
  return faults;
}

}  // namespace internal

table::row_map draft::Contents() const {
  table::row_map contents;
  for (const auto& [key, row] : rows_) contents.emplace_hint(contents.end(), key, row.content);
  return contents;
}

kernel::row_version draft::VersionOf(const table::row_key& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? kernel::row_version() : found->second.row_version;
}

kernel::row_version draft::Put(const table::row_key& key,
                               const std::optional<table::row_content>& content) {
  const auto found = rows_.find(key);
  if (!content) {
    if (found == rows_.end()) return {};
    highest_deleted_ = std::max(highest_deleted_, found->second.row_version);
    rows_.erase(found);
    return {};
  }
  if (found == rows_.end()) {
    const kernel::row_version first = Next(highest_deleted_);
    rows_.emplace(key, draft_row{first, *content});
    return first;
  }
  found->second = draft_row{Next(found->second.row_version), *content};
  return found->second.row_version;
}

outcome draft::Edit(const std::vector<row_edit>& edits) {
  if (auto faults = internal::ValidateEdits(edits); !faults.empty()) {
    return invalid_outcome{std::move(faults)};
  }
  conflict_outcome conflict;
  for (const row_edit& edit : edits) {
    const kernel::row_version actual = VersionOf(edit.key);
    if (actual == edit.expected_row_version) continue;
    edit_conflict mismatch{edit.key, edit.expected_row_version, actual, std::nullopt, edit.content};
    if (const auto row = rows_.find(edit.key); row != rows_.end()) {
      mismatch.current = row->second.content;
    }
    conflict.conflicts.push_back(std::move(mismatch));
  }
  if (!conflict.conflicts.empty()) return conflict;
  if (rows_.size() + edits.size() > table::kMaxRows) {
    return invalid_outcome{{{{}, "", "the table has more than 100000 rows"}}};
  }
  edited_outcome edited;
  for (const row_edit& edit : edits) {
    edited.row_versions.push_back({edit.key, Put(edit.key, edit.content)});
  }
  return edited;
}

void draft::ReplaceContents(const table::row_map& contents) {
  for (const table::row_change& change : table::DeltaBetween(Contents(), contents)) {
    Put(change.key, change.content);
  }
}

}  // namespace cornelweir::control
