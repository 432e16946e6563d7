#ifndef CORNELWEIR_SRC_CONTROL_DRAFT_H_
#define CORNELWEIR_SRC_CONTROL_DRAFT_H_

#include <map>
#include <tuple>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/src/control/commands.h"
#include "cornelweir/src/control/outcomes.h"
#include "cornelweir/table.h"

namespace cornelweir::control {

// A row of the draft and its version, which grows with each edit.
struct draft_row {
  kernel::row_version row_version;
  table::row_content content;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"row_version", &draft_row::row_version},
                      kernel::field{"content", &draft_row::content}};
  }
};

// The table that operators edit before they accept it.
class draft {
 public:
  const std::map<table::row_key, draft_row>& rows() const { return rows_; }
  table::row_map Contents() const;

  // Applies all edits. If one of them is invalid or conflicts, applies none and returns the faults
  // or the conflicts.
  outcome Edit(const std::vector<row_edit>& edits);

  // Replaces all contents. Rows whose content changes get a new row version.
  void ReplaceContents(const table::row_map& contents);

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"rows", &draft::rows_},
                      kernel::field{"highest_deleted", &draft::highest_deleted_}};
  }

 private:
  // The version of a row; 0 if it does not exist.
  kernel::row_version VersionOf(const table::row_key& key) const;
  // Sets or deletes a row. Returns its new version, or 0 if it was deleted.
  kernel::row_version Put(const table::row_key& key,
                          const std::optional<table::row_content>& content);

  std::map<table::row_key, draft_row> rows_;
  // The largest version of a deleted row. New rows start above it, so that an edit based on a
  // deleted row conflicts with a new row of the same key.
  kernel::row_version highest_deleted_;
};

}  // namespace cornelweir::control

#endif  // CORNELWEIR_SRC_CONTROL_DRAFT_H_
