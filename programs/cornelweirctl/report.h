#ifndef PROGRAMS_CORNELWEIRCTL_REPORT_H_
#define PROGRAMS_CORNELWEIRCTL_REPORT_H_

#include <ostream>
#include <vector>

#include "cornelweir/codec.h"
#include "cornelweir/table.h"
#include "programs/cornelweirctl/api/edits_reply.h"

namespace cornelweir::ctl {

// Prints a document as indented JSON.
void PrintJson(std::ostream& out, const codec::json& document);

// Prints one line for each fault: key, cell, reason.
void PrintFaults(std::ostream& out, const std::vector<table::table_fault>& faults);

// Prints for each conflict the cells of both sides and what to do next.
void PrintConflicts(std::ostream& out, const std::vector<edits_reply::conflict>& conflicts);

// Prints the rows that differ between two tables: "+" added, "-" removed, "~" changed, with the
// cells that changed.
void PrintDifference(std::ostream& out, const table::row_map& from, const table::row_map& to);

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_REPORT_H_
