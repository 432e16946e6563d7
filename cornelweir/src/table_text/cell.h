#ifndef CORNELWEIR_SRC_TABLE_TEXT_CELL_H_
#define CORNELWEIR_SRC_TABLE_TEXT_CELL_H_

#include <boost/leaf.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "cornelweir/src/table/row_key.h"
#include "cornelweir/src/table/rows.h"

namespace cornelweir::table_text {

// The cells of a kind of row, in the order of its fields.
std::vector<std::string_view> CellNames(table::row_kind kind);

// A row of this kind whose cells have their defaults.
table::row_content EmptyRow(table::row_kind kind);

// Reads a key such as "split/forms/v1". Errors carry a table_text_error.
boost::leaf::result<table::row_key> ParseKey(std::string_view text);

// Sets one cell from text: a whole number, "true" or "false" in any case, a text, or names
// separated by commas or spaces. Ranges and references are left to table::Validate. Errors carry a
// table_text_error; the row is then unchanged.
boost::leaf::result<void> SetCell(table::row_content& content, std::string_view cell,
                                  std::string_view text);

// The text of one cell; empty if the row has no such cell. Names in a list are separated by spaces.
std::string CellText(const table::row_content& content, std::string_view cell);

}  // namespace cornelweir::table_text

#endif  // CORNELWEIR_SRC_TABLE_TEXT_CELL_H_
