#ifndef CORNELWEIR_TABLE_H_
#define CORNELWEIR_TABLE_H_

// The rows that operators edit, their validation, and the part of a table that a daemon needs.

#include "cornelweir/src/table/configuration.h"
#include "cornelweir/src/table/limits.h"
#include "cornelweir/src/table/row_key.h"
#include "cornelweir/src/table/rows.h"

#endif  // CORNELWEIR_TABLE_H_
