#ifndef CORNELWEIR_TABLE_TEXT_H_
#define CORNELWEIR_TABLE_TEXT_H_

// Rows of the table as text: single cells by name, whole tables as CSV, and aligned columns.

#include "cornelweir/src/table_text/cell.h"
#include "cornelweir/src/table_text/csv.h"
#include "cornelweir/src/table_text/table_text_error.h"
#include "cornelweir/src/table_text/text_grid.h"

#endif  // CORNELWEIR_TABLE_TEXT_H_
