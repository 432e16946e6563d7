#ifndef CORNELWEIR_SRC_TABLE_TEXT_CSV_H_
#define CORNELWEIR_SRC_TABLE_TEXT_CSV_H_

#include <boost/leaf.hpp>
#include <string>
#include <string_view>

#include "cornelweir/src/table/configuration.h"

namespace cornelweir::table_text {

// Writes a table as CSV with RFC 4180 quoting. Each kind that has rows is a section with a header:
//
//   kind,name,limit,wait,calls
//   service,forms,standard,short,intake archive
//
//   kind,name,weight
//   split,forms/v1,100
std::string WriteCsv(const table::row_map& rows);

// Reads what WriteCsv writes, in any order of sections, columns and rows, with lines that end in LF
// or CRLF. A section must have a column for every cell of its kind, so that a column lost in a
// spreadsheet does not reset cells. Errors carry a table_text_error with every fault and its line.
boost::leaf::result<table::row_map> ReadCsv(std::string_view text);

}  // namespace cornelweir::table_text

#endif  // CORNELWEIR_SRC_TABLE_TEXT_CSV_H_
