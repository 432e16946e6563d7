#ifndef CORNELWEIR_SRC_TABLE_TEXT_TEXT_GRID_H_
#define CORNELWEIR_SRC_TABLE_TEXT_TEXT_GRID_H_

#include <string>
#include <vector>

#include "cornelweir/src/table/configuration.h"

namespace cornelweir::table_text {

// Lines of cells that are written in aligned columns.
class text_grid {
 public:
  void AddLine(std::vector<std::string> cells);

  // Control characters are written as '?', since names may come from other hosts and a terminal
  // would obey them. An empty cell is written as '-', so that columns can be told apart.
  std::string Text() const;

 private:
  std::vector<std::vector<std::string>> lines_;
};

// A table with a section for each kind and a header line of cells.
std::string WriteText(const table::row_map& rows);

}  // namespace cornelweir::table_text

#endif  // CORNELWEIR_SRC_TABLE_TEXT_TEXT_GRID_H_
