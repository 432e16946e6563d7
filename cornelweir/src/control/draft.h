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

// A row of the draft and the number of its latest edit.
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

  // Applies all edits, or none and tells why.
  outcome Edit(const std::vector<row_edit>& edits);

  // Replaces all contents. Rows that differ get a new row version.
  void ReplaceContents(const table::row_map& contents);

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"rows", &draft::rows_},
                      kernel::field{"highest_deleted", &draft::highest_deleted_}};
  }

 private:
  kernel::row_version VersionOf(const table::row_key& key) const;
  kernel::row_version Put(const table::row_key& key,
                          const std::optional<table::row_content>& content);

  std::map<table::row_key, draft_row> rows_;
  // A row that is created again starts above this, so that an edit based on the deleted row can't
  // be taken for one based on the new row.
  kernel::row_version highest_deleted_;
};

}  // namespace cornelweir::control

#endif  // CORNELWEIR_SRC_CONTROL_DRAFT_H_
