#include "cornelweir/src/control/version_history.h"

#include "cornelweir/src/control/limits.h"

namespace cornelweir::control {

kernel::table_version version_history::Accept(const table::row_map& rows, const std::string& author,
                                              const std::string& note,
                                              std::int64_t accepted_at_ms) {
  newest_ = Next(newest_);
  versions_.push_back(
      accepted_version{newest_, author, note, accepted_at_ms, table::DeltaBetween(rows, rows_)});
  rows_ = rows;
  if (versions_.size() > kMaxVersions) versions_.erase(versions_.begin());
  return newest_;
}

std::optional<table::row_map> version_history::RowsOf(kernel::table_version version) const {
  if (version > newest_) return std::nullopt;
  if (version == newest_) return rows_;
  if (versions_.empty() || version < versions_.front().version) return std::nullopt;
  table::row_map rows = rows_;
  for (auto accepted = versions_.rbegin(); accepted != versions_.rend(); ++accepted) {
    if (accepted->version == version) break;
    table::ApplyDelta(accepted->undo, rows);
  }
  return rows;
}

}  // namespace cornelweir::control
