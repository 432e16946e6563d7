#include "cornelweir/src/table_text/table_text_error.h"

namespace cornelweir::table_text {

std::string ToString(const table_text_error& error) {
  std::string lines;
  for (const text_fault& fault : error.faults) {
    if (fault.line > 0) lines += "line " + std::to_string(fault.line) + ": ";
    if (!fault.cell.empty()) lines += fault.cell + ": ";
    lines += fault.reason + "\n";
  }
  return lines;
}

}  // namespace cornelweir::table_text
