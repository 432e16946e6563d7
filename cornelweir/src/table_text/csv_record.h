#ifndef CORNELWEIR_SRC_TABLE_TEXT_CSV_RECORD_H_
#define CORNELWEIR_SRC_TABLE_TEXT_CSV_RECORD_H_

#include <string>
#include <string_view>
#include <vector>

#include "cornelweir/src/table_text/table_text_error.h"

namespace cornelweir::table_text::internal {

// The fields of one record and the line that it starts in.
struct csv_record {
  int line = 0;
  std::vector<std::string> fields;
};

// Splits text into records by RFC 4180. Records whose fields are all empty are left out:
// spreadsheets write them for blank lines.
std::vector<csv_record> SplitCsv(std::string_view text, std::vector<text_fault>& faults);

// Appends a record, with quotes where a field needs them.
void AppendCsv(std::string& text, const std::vector<std::string>& fields);

}  // namespace cornelweir::table_text::internal

#endif  // CORNELWEIR_SRC_TABLE_TEXT_CSV_RECORD_H_
