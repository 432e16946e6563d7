#ifndef CORNELWEIR_SRC_TABLE_TEXT_TABLE_TEXT_ERROR_H_
#define CORNELWEIR_SRC_TABLE_TEXT_TABLE_TEXT_ERROR_H_

#include <string>
#include <vector>

namespace cornelweir::table_text {

// What is wrong with a text. The line is 0 if the text is not part of a file; the cell is empty if
// the fault concerns the whole row.
struct text_fault {
  int line = 0;
  std::string cell;
  std::string reason;
};

// Every fault of a cell, a key or a file.
struct table_text_error {
  std::vector<text_fault> faults;
};

// One line for each fault.
std::string ToString(const table_text_error& error);

}  // namespace cornelweir::table_text

#endif  // CORNELWEIR_SRC_TABLE_TEXT_TABLE_TEXT_ERROR_H_
